package mulleinfront.emulator;

/**
 * A request as the emulated wire carries it.
 *
 * @param id the request's id, new with each try
 * @param classIndex its class
 * @param work work that it makes at a server
 * @param key what it is about, or null
 * @param effect what its effect goes by: the same for all tries of one request
 * @param windowUs how long repeats of it are dropped; 0: they are not
 * @param hop the call of a graph that it is; null: none
 */
record Call(String id, int classIndex, double work, String key, String effect, long windowUs, Hop hop) {}
