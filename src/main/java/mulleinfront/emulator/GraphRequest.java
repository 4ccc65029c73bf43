package mulleinfront.emulator;

/** One request from outside, with the data that all its calls share. */
final class GraphRequest {
    final String id;
    final int classIndex;
    final int tenant;
    final String key;
    final double worth;
    final long createdAt;
    final long targetAt;
    final long deadlineAt;
    /** Depth of its deepest call. */
    int deepest;
    /** Number of answered calls whose added time exceeded the budget. */
    int callsOverBudget;

    boolean ended;

    GraphRequest(
            String id,
            int classIndex,
            int tenant,
            String key,
            double worth,
            long createdAt,
            long targetAt,
            long deadlineAt) {
        this.id = id;
        this.classIndex = classIndex;
        this.tenant = tenant;
        this.key = key;
        this.worth = worth;
        this.createdAt = createdAt;
        this.targetAt = targetAt;
        this.deadlineAt = deadlineAt;
    }

    void reached(int depth) {
        deepest = Math.max(deepest, depth);
    }
}
