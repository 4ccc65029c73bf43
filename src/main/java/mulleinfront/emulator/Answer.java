package mulleinfront.emulator;

/**
 * A server's answer.
 *
 * @param requestId the request that it was made for
 * @param host the server
 */
record Answer(String requestId, String host) {}
