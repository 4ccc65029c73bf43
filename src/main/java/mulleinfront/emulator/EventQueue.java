package mulleinfront.emulator;

import java.util.Arrays;
import mulleinfront.core.Time;

/**
 * Virtual time: tasks run in the order of their due times and, at equal times, in the order in which they were
 * scheduled. Nothing else affects the order, so a simulation's course depends on its seed alone.
 */
public final class EventQueue implements Time {
    /** Children of each heap node: four share one cache line and halve the depth of the heap. */
    private static final int WAYS = 4;
    /** Number of cancelled tasks up to which none are swept. */
    private static final int FEW = 256;

    /**
     * A heap ordered by due time and sequence number; both are in arrays beside the events, since they are read far
     * more often.
     */
    private long[] at = new long[1024];

    private long[] order = new long[1024];
    private Event[] events = new Event[1024];
    private int size;
    private long now;
    private long asked;
    private long ran;
    private int cancelled;

    /**
     * One scheduled task. A cancelled task stays in the heap until its due time or the next sweep, which comes when
     * more than half of all tasks are cancelled.
     */
    private final class Event implements Timer {
        private Runnable task;

        Event(Runnable task) {
            this.task = task;
        }

        @Override
        public void cancel() {
            if (task != null) {
                task = null;
                if (++cancelled > Math.max(FEW, size / 2)) {
                    sweep();
                }
            }
        }
    }

    @Override
    public long now() {
        return now;
    }

    /** Due time of the next task, cancelled ones included; {@code Long.MAX_VALUE} if there is none. */
    public long nextAt() {
        return size == 0 ? Long.MAX_VALUE : at[0];
    }

    /** Number of tasks run so far. */
    public long ran() {
        return ran;
    }

    @Override
    public Timer after(long delayUs, Runnable task) {
        Event e = new Event(task);
        if (size == events.length) {
            at = Arrays.copyOf(at, 2 * size);
            order = Arrays.copyOf(order, 2 * size);
            events = Arrays.copyOf(events, 2 * size);
        }
        up(size++, now + Math.max(0, delayUs), asked++, e);
        return e;
    }

    /** Runs all tasks due up to and including an instant, and then sets the time to it. */
    public void runUntil(long instant) {
        while (size > 0 && at[0] <= instant) {
            Event e = events[0];
            long due = at[0];
            int last = --size;
            Event moved = events[last];
            events[last] = null;
            if (last > 0) {
                down(0, at[last], order[last], moved);
            }
            if (e.task == null) {
                cancelled--;
                continue;
            }
            now = due;
            Runnable task = e.task;
            e.task = null;
            ran++;
            task.run();
        }
        now = Math.max(now, instant);
    }

    private void put(int place, long when, long number, Event e) {
        at[place] = when;
        order[place] = number;
        events[place] = e;
    }

    private void move(int from, int to) {
        put(to, at[from], order[from], events[from]);
    }

    private void up(int place, long when, long number, Event e) {
        while (place > 0) {
            int parent = (place - 1) / WAYS;
            // At equal due times the task that was scheduled later stays below.
            if (at[parent] < when || at[parent] == when && order[parent] < number) {
                break;
            }
            move(parent, place);
            place = parent;
        }
        put(place, when, number, e);
    }

    private void down(int place, long when, long number, Event e) {
        for (int first; (first = WAYS * place + 1) < size; ) {
            int least = first;
            int end = Math.min(first + WAYS, size);
            for (int c = first + 1; c < end; c++) {
                if (at[c] < at[least] || at[c] == at[least] && order[c] < order[least]) {
                    least = c;
                }
            }
            if (when < at[least] || when == at[least] && number < order[least]) {
                break;
            }
            move(least, place);
            place = least;
        }
        put(place, when, number, e);
    }

    /**
     * Removes cancelled tasks: deadline timers of several seconds are mostly cancelled within milliseconds and would
     * fill most of the heap.
     */
    private void sweep() {
        int kept = 0;
        for (int i = 0; i < size; i++) {
            if (events[i].task != null) {
                move(i, kept++);
            }
        }
        Arrays.fill(events, kept, size, null);
        size = kept;
        cancelled = 0;
        for (int i = (size - 2) / WAYS; i >= 0 && size > 1; i--) {
            down(i, at[i], order[i], events[i]);
        }
    }
}
