package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Errors that a process can't recover from, in processes of their own. */
class FatalErrorsTest {
    /** Where the error occurs. */
    enum Fault {
        TASK_OF_THE_EVENT_LOOP,
        END_OF_THE_EVENT_LOOP,
        CAUSE_OF_AN_EXCEPTION
    }

    /** Runs an event loop as {@code serve} does until the fault given as its argument. */
    static final class FaultyProcess {
        private FaultyProcess() {}

        public static void main(String[] args) throws Exception {
            Serve.configureLogging();
            FatalErrors.endProcessOnFatalErrors();
            EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
            FatalErrors.endProcessWithLoop(group);
            OutOfMemoryError error = new OutOfMemoryError("for the test");
            switch (Fault.valueOf(args[0])) {
                case TASK_OF_THE_EVENT_LOOP ->
                    group.execute(() -> {
                        throw error;
                    });
                case END_OF_THE_EVENT_LOOP -> group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
                case CAUSE_OF_AN_EXCEPTION -> FatalErrors.endProcessIfFatal(new IllegalStateException(error));
            }
        }
    }

    /** Guards against a process that ends in silence and with exit code 0 when its event loop has failed. */
    @ParameterizedTest
    @EnumSource
    void errorOfTheEventLoopIsLoggedAndEndsTheProcessWithAnError(Fault fault) throws Exception {
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        FaultyProcess.class.getName(),
                        fault.name())
                .redirectErrorStream(true)
                .start();
        String log = new String(process.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        assertTrue(process.waitFor(StandIns.TIMEOUT_S, TimeUnit.SECONDS));
        assertEquals(FatalErrors.EXIT_CODE, process.exitValue(), log);
        assertTrue(log.contains("ending the process"), log);
    }
}
