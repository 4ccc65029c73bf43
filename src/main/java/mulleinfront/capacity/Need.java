package mulleinfront.capacity;

import java.util.List;

/**
 * Something that has to be there at the size, and which happenings of a day need it.
 *
 * @param name the mechanism
 * @param rows the part of the rows that it carries, as {@link Row#part}
 * @param faults kinds of fault of the ordinary day that need it, each the name of its count a day in {@link
 *        Size}
 * @param why in one sentence
 */
public record Need(String name, String rows, List<String> faults, String why) {
    public Need {
        faults = List.copyOf(faults);
    }
}
