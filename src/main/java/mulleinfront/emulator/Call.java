package mulleinfront.emulator;

/**
 * A request message as the emulated wire carries it.
 *
 * @param id id of the try, which the message has as its request id
 * @param classIndex index of the request class
 * @param work work at a server
 * @param key the request's key, or null
 * @param effect identity of the effect, equal for all tries of one request
 * @param windowUs how long servers drop repeats; 0: repeats are not dropped
 * @param graphCall the call of a call graph that the request is; null: none
 */
record Call(String id, int classIndex, double work, String key, String effect, long windowUs, GraphCall graphCall) {}
