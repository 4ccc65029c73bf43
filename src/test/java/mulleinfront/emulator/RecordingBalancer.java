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

/** Wraps the real balancer with a recorder of its events and actions, in the order in which they occur. */
final class RecordingBalancer {
    private RecordingBalancer() {}

    /** Records one instance; each start of a process has a new recorder. */
    interface Recorder {
        /** An event of {@link Balancer}, by its method's name, before the balancer handles it. */
        default void onEvent(long now, String event, Object[] args) {}

        /** An action, by its method's name in {@link Actions}, at the time of the event that led to it. */
        default void onAction(long now, String action, Object[] args) {}
    }

    /**
     * @param settingsChange changes the settings that the balancers get
     * @param recorders supplies the recorder of each instance
     */
    static Core.BalancerFactory factory(UnaryOperator<Settings> settingsChange, Supplier<Recorder> recorders) {
        return (settings, seed, createdAt, actions) -> {
            Recorder recorder = recorders.get();
            long[] now = {createdAt};
            Actions recordedActions =
                    intercept(Actions.class, actions, (name, args) -> recorder.onAction(now[0], name, args));
            Balancer balancer = Balancer.create(settingsChange.apply(settings), seed, createdAt, recordedActions);
            return intercept(Balancer.class, balancer, (name, args) -> {
                if (args != null && args.length > 0 && args[0] instanceof Long time) {
                    now[0] = time;
                }
                recorder.onEvent(now[0], name, args);
            });
        };
    }

    /** Called before each intercepted method call, with the method's name and arguments. */
    private interface Interceptor {
        void beforeCall(String name, Object[] args);
    }

    private static <T> T intercept(Class<T> type, T delegate, Interceptor interceptor) {
        InvocationHandler handler = (proxy, method, args) -> {
            interceptor.beforeCall(method.getName(), args);
            try {
                return method.invoke(delegate, args);
            } catch (InvocationTargetException e) {
                throw e.getCause();
            }
        };
        return type.cast(Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] {type}, handler));
    }
}
