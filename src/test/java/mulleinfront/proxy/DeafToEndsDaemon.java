package mulleinfront.proxy;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import mulleinfront.Balancer;
import mulleinfront.settings.Config;
import sun.misc.Signal;

/**
 * The real client proxy with the fault of incident 2 planted: that a watch has ended, or that a call was answered by a
 * refusal, puts off the time until which the list is sent by, as if discovery could not be reached.
 */
public final class DeafToEndsDaemon {
    private DeafToEndsDaemon() {}

    /** Serves as {@code serve} does, by the configuration of NODE_CONFIG. */
    public static void main(String... args) throws Exception {
        String file = System.getenv("NODE_CONFIG");
        ClientProxy proxy = ClientProxy.start(
                Config.load(file),
                (settings, seed, now, actions) -> deaf(Balancer.create(settings, seed, now, actions)));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> proxy.drain().awaitUninterruptibly()));
        Signal.handle(new Signal("HUP"), hup -> reload(proxy, file));
    }

    private static void reload(ClientProxy proxy, String file) {
        try {
            proxy.reload(Config.load(file));
        } catch (Exception e) {
            System.err.println("not reloaded: " + e);
        }
    }

    private static Balancer deaf(Balancer real) {
        return (Balancer) Proxy.newProxyInstance(
                Balancer.class.getClassLoader(),
                new Class<?>[] {Balancer.class},
                (proxy, method, args) -> call(real, method, args));
    }

    private static Object call(Balancer real, Method method, Object[] args) throws Throwable {
        if (method.getName().equals("onWatchEnded") || method.getName().equals("onDiscoveryFailed")) {
            real.onDiscoveryUnreachable((long) args[0]);
            return null;
        }
        try {
            return method.invoke(real, args);
        } catch (InvocationTargetException e) {
            throw e.getCause();
        }
    }
}
