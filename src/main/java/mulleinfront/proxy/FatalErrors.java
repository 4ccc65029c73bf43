package mulleinfront.proxy;

import io.netty.channel.EventLoopGroup;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Ends the process after an error that it can't recover from, such as a lack of memory, with a line in its log and an
 * exit code that the platform takes for a crash. Without this an event loop could end in silence, and the process with
 * it as if it had been told to. Has an effect only in a process of its own, see {@link #endProcessOnFatalErrors}.
 */
final class FatalErrors {
    /** The exit code for an internal error, as in {@code sysexits.h}. */
    static final int EXIT_CODE = 70;

    private static volatile boolean endsProcess;
    private static final Set<EventLoopGroup> EXPECTED_TO_END = ConcurrentHashMap.newKeySet();

    private FatalErrors() {}

    /** From now on a fatal error ends the process. */
    static void endProcessOnFatalErrors() {
        endsProcess = true;
    }

    /** Ends the process if this is an error of the virtual machine. */
    static void endProcessIfFatal(Throwable cause) {
        for (Throwable error = cause; error != null; error = error.getCause()) {
            if (error instanceof VirtualMachineError) {
                endProcess("fatal error", error);
            }
        }
    }

    /** Ends the process when the event loops end without {@link #loopMayEnd}. */
    static void endProcessWithLoop(EventLoopGroup group) {
        group.terminationFuture().addListener(ended -> {
            if (!EXPECTED_TO_END.remove(group)) {
                endProcess("an event loop ended", ended.cause());
            }
        });
    }

    /** These event loops are being shut down. */
    static void loopMayEnd(EventLoopGroup group) {
        EXPECTED_TO_END.add(group);
    }

    private static void endProcess(String event, Throwable cause) {
        if (endsProcess) {
            try {
                System.err.println("mulleinfront: " + event + ", ending the process: " + cause);
            } finally {
                // The shutdown hook would wait for event loops that may not run any more.
                Runtime.getRuntime().halt(EXIT_CODE);
            }
        }
    }
}
