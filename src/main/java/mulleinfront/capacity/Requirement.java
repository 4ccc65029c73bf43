package mulleinfront.capacity;

import java.util.List;

/**
 * A mechanism that the fleet needs at its size, and the daily events that require it.
 *
 * @param name name of the mechanism
 * @param rows the {@link Row#part} of the rows that the mechanism serves
 * @param faults fault types of an ordinary day that need the mechanism, each by the name of its daily count in
 *        {@link Size}
 * @param why the reason, one sentence
 */
public record Requirement(String name, String rows, List<String> faults, String why) {
    public Requirement {
        faults = List.copyOf(faults);
    }
}
