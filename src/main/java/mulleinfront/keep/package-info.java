/**
 * Raft replicas of the control plane: three control-plane nodes agree on the sequence of configuration
 * versions of the fleet, and each stores it durably. Consensus is implemented by the MicroRaft library.
 *
 * <p>{@link mulleinfront.keep.ConfigStateMachine} is the replicated state machine, without I/O; {@link
 * mulleinfront.keep.Replica} drives the library and receives its scheduler, random source, log and peers from
 * the caller; {@link mulleinfront.keep.ReplicaLog} is the durable log; {@link
 * mulleinfront.keep.ReplicaTransport} sends and receives messages between replicas; {@link
 * mulleinfront.keep.ReplicaNode} runs them all on one event loop.
 *
 * <p>This package depends only on {@code mulleinfront.config} within the program, and only the command line
 * depends on this package.
 */
package mulleinfront.keep;
