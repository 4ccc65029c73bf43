package mulleinfront.emulator;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import mulleinfront.Balancer;
import mulleinfront.Balancer.Actions;
import mulleinfront.Balancer.Settings;
import mulleinfront.core.Core;

/** The real module with somebody who notes what it is told and what it decides, in the order of both. */
final class Noted {
    private Noted() {}

    /** Notes of one instance; there is a new one for each start of a process. */
    interface Notes {
        /** An event of {@link Balancer}, by its method's name, before the module has it. */
        default void told(long now, String event, Object[] args) {}

        /** A decision, by its method's name in {@link Actions}, at the time of the event that led to it. */
        default void decided(long now, String action, Object[] args) {}
    }

    /**
     * @param told what the modules are to be told of the settings
     * @param notes makes the notes of an instance
     */
    static Core.BalancerFactory maker(UnaryOperator<Settings> told, Supplier<Notes> notes) {
        return (settings, seed, at, actions) -> {
            Notes noted = notes.get();
            long[] now = {at};
            Actions passed = pass(Actions.class, actions, (name, args) -> noted.decided(now[0], name, args));
            Balancer module = Balancer.create(told.apply(settings), seed, at, passed);
            return pass(Balancer.class, module, (name, args) -> {
                if (args != null && args.length > 0 && args[0] instanceof Long time) {
                    now[0] = time;
                }
                noted.told(now[0], name, args);
            });
        };
    }

    /** Called before each intercepted method call, with the method's name and arguments. */
    private interface Before {
        void call(String name, Object[] args);
    }

    private static <T> T pass(Class<T> type, T to, Before before) {
        InvocationHandler handler = (proxy, method, args) -> {
            before.call(method.getName(), args);
            try {
                return method.invoke(to, args);
            } catch (InvocationTargetException e) {
                throw e.getCause();
            }
        };
        return type.cast(Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] {type}, handler));
    }
}
