package mulleinfront.core;

import mulleinfront.Balancer;

/** Decisions that go nowhere, for whoever drives a module by itself and overrides those it wants to see. */
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
