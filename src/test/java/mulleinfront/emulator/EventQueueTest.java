package mulleinfront.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import mulleinfront.core.Time;
import org.junit.jupiter.api.Test;

/** Virtual time: what runs when, and in which order. */
class EventQueueTest {
    private final EventQueue queue = new EventQueue();
    private final List<Object> ran = new ArrayList<>();

    @Test
    void eventsOfOneInstantRunInTheOrderInWhichTheyWereAskedFor() {
        for (int i = 0; i < 10_000; i++) {
            int n = i;
            queue.after(5, () -> ran.add(n));
        }
        queue.after(4, () -> ran.add("before"));
        queue.runUntil(5);
        assertEquals("before", ran.remove(0));
        assertEquals(IntStream.range(0, 10_000).boxed().toList(), ran);
    }

    @Test
    void whatAnEventAsksForAtItsOwnInstantRunsAfterAllThatWaitThere() {
        queue.after(1, () -> queue.after(0, () -> ran.add("asked last")));
        queue.after(1, () -> ran.add("second"));
        queue.after(-7, () -> ran.add("late ones run now"));
        queue.runUntil(1);
        assertEquals(List.of("late ones run now", "second", "asked last"), ran);
        assertEquals(1, queue.now());
    }

    @Test
    void theLastInstantIsIncludedAndTheNextIsNot() {
        queue.after(10, () -> ran.add(queue.now()));
        queue.after(11, () -> ran.add(queue.now()));
        queue.runUntil(10);
        assertEquals(List.of(10L), ran);
        queue.runUntil(100);
        assertEquals(List.of(10L, 11L), ran);
        assertEquals(100, queue.now());
    }

    @Test
    void whatIsCancelledDoesNotRunHoweverMuchThereIsOfIt() {
        List<Time.Timer> timers = new ArrayList<>();
        List<Integer> kept = new ArrayList<>();
        Chance chance = Chance.of(1, "test");
        for (int i = 0; i < 50_000; i++) {
            int n = i;
            timers.add(queue.after(1 + chance.below(1_000), () -> ran.add(n)));
        }
        for (int i = 0; i < 50_000; i++) {
            if (i % 10 == 0) {
                kept.add(i);
            } else {
                timers.get(i).cancel();
                timers.get(i).cancel();
            }
        }
        queue.runUntil(2_000);
        assertEquals(kept, ran.stream().map(o -> (Integer) o).sorted().toList());
        timers.forEach(Time.Timer::cancel);
        queue.after(1, () -> ran.add("still works"));
        queue.runUntil(3_000);
        assertTrue(ran.contains("still works"));
    }
}
