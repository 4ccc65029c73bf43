package mulleinfront.core;

import mulleinfront.Balancer;

/** Actions without effect; a subclass that drives a balancer directly overrides those that it needs. */
public class NoOpActions implements Balancer.Actions {
    @Override
    public void send(String requestId, String endpointId, long timeoutUs) {}

    @Override
    public void refuse(String requestId, long retryAfterUs) {}

    @Override
    public void fail(String requestId) {}

    @Override
    public void cancel(String requestId, int attempt) {}

    @Override
    public void probe(String endpointId) {}

    @Override
    public void subscribe() {}

    @Override
    public void wakeAt(long atUs) {}
}
