package mulleinfront.emulator;

import java.util.List;
import mulleinfront.Balancer.Endpoint;
import mulleinfront.Balancer.Source;
import mulleinfront.core.Core;
import mulleinfront.core.ResponseHandler;
import mulleinfront.core.Time;
import mulleinfront.core.Wire;

/**
 * How a core is fitted into its client proxy. The plain one joins the parts as they are; one that is broken on
 * purpose shows that the auditor can fail.
 */
interface Fitting {
    Fitting PLAIN = new Fitting() {};

    /** What the core sends by. */
    default Wire<Call, Answer> wire(Wire<Call, Answer> wire, Time time) {
        return wire;
    }

    /** Whom the core answers. */
    default ResponseHandler<Call, Answer> caller(ResponseHandler<Call, Answer> caller, Time time) {
        return caller;
    }

    /** A list on its way to the core. */
    default void listed(Core<Call, Answer> core, Source source, List<Endpoint> endpoints, Time time) {
        core.onEndpointList(source, endpoints);
    }
}
