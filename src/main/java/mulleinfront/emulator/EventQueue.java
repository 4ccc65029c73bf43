package mulleinfront.emulator;

import java.util.Arrays;
import mulleinfront.core.Time;

/**
 * Virtual time: tasks run in the order of their due times and, at equal times, in the order in which they were
 * scheduled. Nothing else affects the order, so a simulation's course depends on its seed alone.
 */
public final class EventQueue implements Time {
    /** Children of each heap node: four share one cache line and halve the depth of the heap. */
    private static final int CHILDREN = 4;
    /** Number of cancelled tasks up to which none are swept. */
    private static final int MIN_CANCELLED_TO_SWEEP = 256;

    /**
     * A heap ordered by due time and sequence number; both are in arrays beside the events, since they are read far
     * more often.
     */
    private long[] dueAt = new long[1024];

    private long[] sequence = new long[1024];
    private Event[] events = new Event[1024];
    private int size;
    private long now;
    private long scheduled;
    private long tasksRun;
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
                if (++cancelled > Math.max(MIN_CANCELLED_TO_SWEEP, size / 2)) {
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
        return size == 0 ? Long.MAX_VALUE : dueAt[0];
    }

    /** Number of tasks run so far. */
    public long tasksRun() {
        return tasksRun;
    }

    @Override
    public Timer after(long delayUs, Runnable task) {
        Event event = new Event(task);
        if (size == events.length) {
            dueAt = Arrays.copyOf(dueAt, 2 * size);
            sequence = Arrays.copyOf(sequence, 2 * size);
            events = Arrays.copyOf(events, 2 * size);
        }
        siftUp(size++, now + Math.max(0, delayUs), scheduled++, event);
        return event;
    }

    /** Runs all tasks due up to and including an instant, and then sets the time to it. */
    public void runUntil(long instant) {
        while (size > 0 && dueAt[0] <= instant) {
            Event event = events[0];
            long due = dueAt[0];
            int last = --size;
            Event moved = events[last];
            events[last] = null;
            if (last > 0) {
                siftDown(0, dueAt[last], sequence[last], moved);
            }
            if (event.task == null) {
                cancelled--;
                continue;
            }
            now = due;
            Runnable task = event.task;
            event.task = null;
            tasksRun++;
            task.run();
        }
        now = Math.max(now, instant);
    }

    private void put(int index, long when, long number, Event event) {
        dueAt[index] = when;
        sequence[index] = number;
        events[index] = event;
    }

    private void move(int from, int to) {
        put(to, dueAt[from], sequence[from], events[from]);
    }

    private void siftUp(int index, long when, long number, Event event) {
        while (index > 0) {
            int parent = (index - 1) / CHILDREN;
            // At equal due times the task that was scheduled later stays below.
            if (dueAt[parent] < when || dueAt[parent] == when && sequence[parent] < number) {
                break;
            }
            move(parent, index);
            index = parent;
        }
        put(index, when, number, event);
    }

    private void siftDown(int index, long when, long number, Event event) {
        for (int first; (first = CHILDREN * index + 1) < size; ) {
            int earliest = first;
            int end = Math.min(first + CHILDREN, size);
            for (int child = first + 1; child < end; child++) {
                if (dueAt[child] < dueAt[earliest]
                        || dueAt[child] == dueAt[earliest] && sequence[child] < sequence[earliest]) {
                    earliest = child;
                }
            }
            if (when < dueAt[earliest] || when == dueAt[earliest] && number < sequence[earliest]) {
                break;
            }
            move(earliest, index);
            index = earliest;
        }
        put(index, when, number, event);
    }

    /**
     * Removes cancelled tasks: deadline timers of several seconds are mostly cancelled within milliseconds and would
     * fill most of the heap.
     */
    private void sweep() {
        int keptCount = 0;
        for (int i = 0; i < size; i++) {
            if (events[i].task != null) {
                move(i, keptCount++);
            }
        }
        Arrays.fill(events, keptCount, size, null);
        size = keptCount;
        cancelled = 0;
        for (int i = (size - 2) / CHILDREN; i >= 0 && size > 1; i--) {
            siftDown(i, dueAt[i], sequence[i], events[i]);
        }
    }
}
