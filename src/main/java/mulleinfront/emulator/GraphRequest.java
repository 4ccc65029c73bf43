package mulleinfront.emulator;

/** One request from outside, with what its calls far below have in common. */
final class GraphRequest {
    final String id;
    final int classIndex;
    final int tenant;
    final String key;
    final double worth;
    final long bornAt;
    final long aimAt;
    final long endAt;
    /** Calls from outside down to its deepest server. */
    int deepest;
    /** Answered calls with more than the budget added to them. */
    int beyond;

    boolean over;

    GraphRequest(String id, int classIndex, int tenant, String key, double worth, long bornAt, long aimAt, long endAt) {
        this.id = id;
        this.classIndex = classIndex;
        this.tenant = tenant;
        this.key = key;
        this.worth = worth;
        this.bornAt = bornAt;
        this.aimAt = aimAt;
        this.endAt = endAt;
    }

    void reached(int depth) {
        deepest = Math.max(deepest, depth);
    }
}
