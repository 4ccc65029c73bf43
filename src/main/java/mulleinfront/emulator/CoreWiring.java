package mulleinfront.emulator;

import java.util.List;
import mulleinfront.Balancer.Endpoint;
import mulleinfront.Balancer.Source;
import mulleinfront.core.Core;
import mulleinfront.core.ResponseHandler;
import mulleinfront.core.Time;
import mulleinfront.core.Wire;

/**
 * How a core is connected to the other parts of its client proxy. {@link #UNCHANGED} connects them unchanged; tests use
 * deliberately faulty ones to show that the auditor detects violations.
 */
interface CoreWiring {
    CoreWiring UNCHANGED = new CoreWiring() {};

    /** The wire that the core sends on. */
    default Wire<Call, Answer> wire(Wire<Call, Answer> wire, Time time) {
        return wire;
    }

    /** The handler of the core's responses. */
    default ResponseHandler<Call, Answer> responseHandler(ResponseHandler<Call, Answer> caller, Time time) {
        return caller;
    }

    /** Passes a list update to the core. */
    default void deliverList(Core<Call, Answer> core, Source source, List<Endpoint> endpoints, Time time) {
        core.onEndpointList(source, endpoints);
    }
}
