/**
 * The life of a request, without I/O: from the moment a front has taken it until its one final answer is
 * given and its last attempt has ended.
 *
 * <p>{@link mulleinfront.core.Core} holds the open requests, their attempts and guards, and the queue through
 * which every event reaches the decision module and every decision leaves it. It keeps the rules that no
 * decision may break: one final answer, one attempt out at a time, a refusal only where it is a true word,
 * nothing written to a host that is not listed as ready.
 *
 * <p>The way of data: a front (HTTP/1.1 today) reads a request and calls {@code take}; the module decides
 * through {@link mulleinfront.Balancer.Actions}; the core starts an attempt on its
 * {@link mulleinfront.core.Wire}; its end comes back once; the module decides again; the
 * {@link mulleinfront.core.ResponseHandler} is told how the request ended.
 *
 * <p>May import the module ({@code mulleinfront}) and {@code java.util}, and nothing else: no socket, file,
 * thread or system clock. Time and timers are given by {@link mulleinfront.core.Time}, so the same core runs
 * on a Netty event loop and on the emulator's virtual time. It is owned by one thread and holds no lock.
 */
package mulleinfront.core;
