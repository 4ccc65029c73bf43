package mulleinfront.emulator;

import java.util.Arrays;
import mulleinfront.core.Time;

/**
 * Virtual time: tasks in the order of their instants and, at one instant, in the order in which they were
 * asked for. Nothing else orders them, so a world's course depends on its seed alone.
 */
public final class EventQueue implements Time {
    private Event[] heap = new Event[1024];
    private int size;
    private long now;
    private long asked;
    private long ran;

    /** One task; cancelled ones stay until their instant comes, or until they are half of all. */
    private final class Event implements Timer {
        private final long at;
        private final long order;
        private Runnable task;

        Event(long at, long order, Runnable task) {
            this.at = at;
            this.order = order;
            this.task = task;
        }

        @Override
        public void cancel() {
            if (task != null) {
                task = null;
                if (++cancelled > size / 2 && size > 4096) {
                    sweep();
                }
            }
        }

        boolean before(Event o) {
            return at < o.at || at == o.at && order < o.order;
        }
    }

    private int cancelled;

    @Override
    public long now() {
        return now;
    }

    /** Tasks run so far. */
    public long ran() {
        return ran;
    }

    @Override
    public Timer after(long delayUs, Runnable task) {
        Event e = new Event(now + Math.max(0, delayUs), asked++, task);
        if (size == heap.length) {
            heap = Arrays.copyOf(heap, 2 * size);
        }
        up(size++, e);
        return e;
    }

    /** Runs all that is due up to an instant, that instant included; time then stands there. */
    public void runUntil(long instant) {
        while (size > 0 && heap[0].at <= instant) {
            Event e = heap[0];
            Event last = heap[--size];
            heap[size] = null;
            if (size > 0) {
                down(0, last);
            }
            if (e.task == null) {
                cancelled--;
                continue;
            }
            now = e.at;
            Runnable task = e.task;
            e.task = null;
            ran++;
            task.run();
        }
        now = Math.max(now, instant);
    }

    private void up(int at, Event e) {
        while (at > 0) {
            int parent = at - 1 >>> 1;
            if (!e.before(heap[parent])) {
                break;
            }
            heap[at] = heap[parent];
            at = parent;
        }
        heap[at] = e;
    }

    private void down(int at, Event e) {
        for (int child; (child = 2 * at + 1) < size; at = child) {
            if (child + 1 < size && heap[child + 1].before(heap[child])) {
                child++;
            }
            if (!heap[child].before(e)) {
                break;
            }
            heap[at] = heap[child];
        }
        heap[at] = e;
    }

    /** Drops the cancelled: guards of seconds, cancelled within milliseconds, would be most of the heap. */
    private void sweep() {
        int kept = 0;
        for (int i = 0; i < size; i++) {
            if (heap[i].task != null) {
                heap[kept++] = heap[i];
            }
        }
        Arrays.fill(heap, kept, size, null);
        size = kept;
        cancelled = 0;
        for (int i = size / 2 - 1; i >= 0; i--) {
            down(i, heap[i]);
        }
    }
}
