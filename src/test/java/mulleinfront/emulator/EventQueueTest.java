package mulleinfront.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import mulleinfront.core.Time;
import org.junit.jupiter.api.Test;

/** Order and time of events in virtual time, and their cancellation. */
class EventQueueTest {
    private final EventQueue queue = new EventQueue();
    private final List<Object> executed = new ArrayList<>();

    @Test
    void eventsAtOneInstantRunInSchedulingOrder() {
        for (int i = 0; i < 10_000; i++) {
            int index = i;
            queue.after(5, () -> executed.add(index));
        }
        queue.after(4, () -> executed.add("before"));
        queue.runUntil(5);
        assertEquals("before", executed.remove(0));
        assertEquals(IntStream.range(0, 10_000).boxed().toList(), executed);
    }

    @Test
    void eventScheduledForTheCurrentInstantRunsLast() {
        queue.after(1, () -> queue.after(0, () -> executed.add("asked last")));
        queue.after(1, () -> executed.add("second"));
        queue.after(-7, () -> executed.add("late ones run now"));
        queue.runUntil(1);
        assertEquals(List.of("late ones run now", "second", "asked last"), executed);
        assertEquals(1, queue.now());
    }

    @Test
    void runUntilIncludesTheLastInstant() {
        queue.after(10, () -> executed.add(queue.now()));
        queue.after(11, () -> executed.add(queue.now()));
        queue.runUntil(10);
        assertEquals(List.of(10L), executed);
        queue.runUntil(100);
        assertEquals(List.of(10L, 11L), executed);
        assertEquals(100, queue.now());
    }

    @Test
    void cancelledEventsDoNotRun() {
        List<Time.Timer> timers = new ArrayList<>();
        List<Integer> expected = new ArrayList<>();
        RandomStream chance = RandomStream.of(1, "test");
        for (int i = 0; i < 50_000; i++) {
            int index = i;
            timers.add(queue.after(1 + chance.uniformBelow(1_000), () -> executed.add(index)));
        }
        for (int i = 0; i < 50_000; i++) {
            if (i % 10 == 0) {
                expected.add(i);
            } else {
                timers.get(i).cancel();
                timers.get(i).cancel();
            }
        }
        queue.runUntil(2_000);
        assertEquals(expected, executed.stream().map(o -> (Integer) o).sorted().toList());
        timers.forEach(Time.Timer::cancel);
        queue.after(1, () -> executed.add("still works"));
        queue.runUntil(3_000);
        assertTrue(executed.contains("still works"));
    }
}
