import java.util.concurrent.Callable;

/** Ends a case with its exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
final class Cases {
    private Cases() {}

    static void exit(Callable<Integer> run) {
        int code = 2;
        try {
            code = run.call();
        } catch (Throwable failure) {
            failure.printStackTrace();
        }
        System.exit(code);
    }
}
