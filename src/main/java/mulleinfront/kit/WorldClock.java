package mulleinfront.kit;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import mulleinfront.emulator.HybridSimulation;
import org.HdrHistogram.Histogram;

/**
 * A stage on the real clock: it stands at its instant 0 until {@link #start}, and then runs what is due when it is due,
 * on one event loop. How late that was is kept: a run on a machine that was too busy says little of the daemon.
 */
final class WorldClock {
    private static final long MOST_LATE_US = 60_000_000;

    final EventLoop loop;
    private final HybridSimulation stage;
    private final Histogram late = new Histogram(MOST_LATE_US, 2);
    private long startNanos;
    private long startMillis;
    private boolean started;
    private boolean over;
    private boolean running;
    private RuntimeException defect;
    private long armedAt = Long.MAX_VALUE;
    private ScheduledFuture<?> armed;

    WorldClock(EventLoop loop, HybridSimulation stage) {
        this.loop = loop;
        this.stage = stage;
    }

    void start() {
        startNanos = System.nanoTime();
        startMillis = System.currentTimeMillis();
        started = true;
        arm();
    }

    /** Nothing happens in the world from now on. */
    void stop() {
        over = true;
        if (armed != null) {
            armed.cancel(false);
        }
    }

    /** Microseconds since the start. */
    long now() {
        return started ? (System.nanoTime() - startNanos) / 1000 : 0;
    }

    /** An instant of the world as Unix time, milliseconds; 0 stands for long ago. */
    long unixMillis(long at) {
        return at == 0 ? 0 : (started ? startMillis : System.currentTimeMillis()) + at / 1000;
    }

    /** What went wrong first in the world's own code; null if nothing did. */
    RuntimeException defect() {
        return defect;
    }

    /** Does something in the world as it is now, or after what is being done there; on the loop. */
    void run(Runnable news) {
        if (running) {
            loop.execute(() -> run(news));
            return;
        }
        if (!over) {
            running = true;
            try {
                stage.runUntil(now());
                news.run();
            } catch (RuntimeException e) {
                defect = defect == null ? e : defect;
            } finally {
                running = false;
            }
            arm();
        }
    }

    private void arm() {
        long next = stage.nextAt();
        if (!started || over || next >= armedAt) {
            return;
        }
        if (armed != null) {
            armed.cancel(false);
        }
        armedAt = next;
        armed = loop.schedule(this::tick, Math.max(0, next - now()), TimeUnit.MICROSECONDS);
    }

    private void tick() {
        late.recordValue(Math.max(0, Math.min(MOST_LATE_US, now() - armedAt)));
        armedAt = Long.MAX_VALUE;
        armed = null;
        run(() -> {});
    }

    /** How late what was due was done, milliseconds: all but this percentage of it. */
    double lateMs(double percentile) {
        return late.getValueAtPercentile(percentile) / 1e3;
    }
}
