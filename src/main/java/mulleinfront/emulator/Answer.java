package mulleinfront.emulator;

/**
 * A server's response.
 *
 * @param requestId id of the request that the response is for
 * @param host id of the server
 */
record Answer(String requestId, String host) {}
