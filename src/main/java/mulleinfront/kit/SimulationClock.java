package mulleinfront.kit;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import mulleinfront.emulator.HybridSimulation;
import org.HdrHistogram.Histogram;

/**
 * Runs a hybrid simulation on the real clock. Its time stays at 0 until {@link #start}; after that, events run on one
 * event loop when they are due. Their lateness is recorded, because a run on a machine that was too busy says little
 * about the client proxies.
 */
final class SimulationClock {
    private static final long MAX_LATENESS_US = 60_000_000;
    /** Passes of the event loop until data on a new connection is read: one accepts the connection, the next reads. */
    private static final int PASSES_TO_READ = 2;

    final EventLoop loop;
    private final HybridSimulation simulation;
    private final Histogram lateness = new Histogram(MAX_LATENESS_US, 2);
    private long startNanos;
    private long startMillis;
    private boolean started;
    private boolean stopped;
    private boolean running;
    private RuntimeException unexpectedException;
    private long timerDueUs = Long.MAX_VALUE;
    private ScheduledFuture<?> timer;

    SimulationClock(EventLoop loop, HybridSimulation simulation) {
        this.loop = loop;
        this.simulation = simulation;
    }

    void start() {
        startNanos = System.nanoTime();
        startMillis = System.currentTimeMillis();
        started = true;
        scheduleNext();
    }

    /** Stops the simulation; no further events run. */
    void stop() {
        stopped = true;
        if (timer != null) {
            timer.cancel(false);
        }
    }

    /** Microseconds since the start. */
    long nowUs() {
        return started ? (System.nanoTime() - startNanos) / 1000 : 0;
    }

    /** Converts simulation time to Unix time in milliseconds; 0 stays 0 and stands for a time long ago. */
    long unixMillis(long timeUs) {
        return timeUs == 0 ? 0 : (started ? startMillis : System.currentTimeMillis()) + timeUs / 1000;
    }

    /** The first unexpected exception from the simulation; null if there was none. */
    RuntimeException unexpectedException() {
        return unexpectedException;
    }

    /** Runs a task at the current simulation time, or after the task that is running; called on the event loop. */
    void run(Runnable task) {
        if (running) {
            loop.execute(() -> run(task));
            return;
        }
        if (!stopped) {
            running = true;
            try {
                simulation.runUntil(nowUs());
                task.run();
            } catch (RuntimeException e) {
                unexpectedException = unexpectedException == null ? e : unexpectedException;
            } finally {
                running = false;
            }
            scheduleNext();
        }
    }

    /**
     * Runs a task once all data is read that had arrived when this was called, on new connections too. What one process
     * sends on two connections is read in an undefined order; a task that runs so comes after what was sent before.
     * Tasks run in the order of the calls; called on the event loop.
     */
    void runAfterReads(Runnable task) {
        runAfterPasses(PASSES_TO_READ, task);
    }

    private void runAfterPasses(int passes, Runnable task) {
        if (passes == 0) {
            run(task);
            return;
        }
        // A scheduled task, unlike an executed one, waits for the next pass even when it is due at once.
        loop.schedule(() -> runAfterPasses(passes - 1, task), 0, TimeUnit.MICROSECONDS);
    }

    private void scheduleNext() {
        long next = simulation.nextEventAt();
        if (!started || stopped || next >= timerDueUs) {
            return;
        }
        if (timer != null) {
            timer.cancel(false);
        }
        timerDueUs = next;
        timer = loop.schedule(this::tick, Math.max(0, next - nowUs()), TimeUnit.MICROSECONDS);
    }

    private void tick() {
        lateness.recordValue(Math.max(0, Math.min(MAX_LATENESS_US, nowUs() - timerDueUs)));
        timerDueUs = Long.MAX_VALUE;
        timer = null;
        run(() -> {});
    }

    /** The given percentile of the lateness of events, milliseconds. */
    double latenessMs(double percentile) {
        return lateness.getValueAtPercentile(percentile) / 1e3;
    }
}
