package mulleinfront.keep;

import io.microraft.RaftEndpoint;

/**
 * A keeper as the consensus library knows it.
 *
 * @param name the name it has in the settings; never given to another machine
 */
record Member(String name) implements RaftEndpoint {
    @Override
    public Object getId() {
        return name;
    }

    @Override
    public String toString() {
        return name;
    }
}
