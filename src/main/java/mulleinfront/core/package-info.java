/**
 * Request handling without I/O: from the moment a front end has accepted a request until its one final answer has been
 * given and its last attempt has ended.
 *
 * <p>{@link mulleinfront.core.Core} holds the open requests with their attempts and deadline timers, and the queue
 * through which every event reaches the balancer and every decision leaves it. It enforces the invariants that no
 * decision may violate: one final answer per request, one attempt in progress at a time, a refusal only if a retry is
 * safe, and nothing written to an endpoint that is not listed as ready.
 *
 * <p>Data flow: a front end (HTTP/1.1) reads a request and calls {@code accept}; the balancer decides through
 * {@link mulleinfront.Balancer.Actions}; the core starts an attempt on its {@link mulleinfront.core.Wire}, which
 * reports the attempt's end once; the balancer decides again; the {@link mulleinfront.core.ResponseHandler} is called
 * with the final answer.
 *
 * <p>May import the balancer ({@code mulleinfront}) and {@code java.util}, and nothing else: no socket, file, thread or
 * system clock. {@link mulleinfront.core.Time} provides time and timers, so the same core runs on a Netty event loop
 * and on the emulator's virtual time. One thread owns a core, and there are no locks.
 */
package mulleinfront.core;
