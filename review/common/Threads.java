package review;

/** Daemon threads whose exceptions end only the thread. */
final class Threads {
    private Threads() {}

    /** A task that may fail. */
    interface Task {
        void run() throws Exception;
    }

    static Thread run(Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (Exception e) {
                if (!(e instanceof java.io.IOException)) {
                    e.printStackTrace();
                }
            }
        }, "stand-in", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
