/**
 * The keepers: three control machines that decide by consensus (Raft, by the library MicroRaft) which version
 * of the fleet's configuration is the newest, each holding it durably.
 *
 * <p>{@link mulleinfront.keep.Register} is the state machine, without I/O; {@link mulleinfront.keep.Keeper}
 * drives the library, with executor, clock, chance, log and peers handed to it; {@link
 * mulleinfront.keep.KeepLog} is the log on disk; {@link mulleinfront.keep.KeeperWire} carries messages
 * between keepers; {@link mulleinfront.keep.ReplicaNode} puts them together on one event loop.
 *
 * <p>Of the program only {@code mulleinfront.config} is known here, and only the command line knows this
 * package.
 */
package mulleinfront.keep;
