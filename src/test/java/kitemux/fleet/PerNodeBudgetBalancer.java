package kitemux.fleet;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import kitemux.Balancer;
import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;
import kitemux.Balancer.Settings;
import kitemux.ServiceQBalancer;

/**
 * A deliberately defective module: it sends each cold server the whole warm-up load that the settings allow,
 * as if its node were the only one.
 */
public final class PerNodeBudgetBalancer {
    private final Settings settings;
    private final double meanWorkUs;
    private final Map<String, Long> coldStartsUs = new HashMap<>();
    private final Map<String, ArrayDeque<Long>> sentTimesUs = new HashMap<>();
    private final Set<Long> dispatchedRequests = new HashSet<>();
    private long nowUs;

    private PerNodeBudgetBalancer(Settings settings, double meanWorkUs) {
        this.settings = settings;
        this.meanWorkUs = meanWorkUs;
    }

    /**
     * Creates the production module with this defect.
     *
     * @param meanWorkUs mean work of a request on a core of speed 1, in microseconds
     */
    public static Balancer create(Settings settings, long seed, Balancer.Actions actions, double meanWorkUs) {
        PerNodeBudgetBalancer defect = new PerNodeBudgetBalancer(settings, meanWorkUs);
        Balancer.Actions interceptedActions = intercept(Balancer.Actions.class, actions, (method, args) -> {
            if (method.getName().equals("send")) {
                args[1] = defect.chooseServer((Long) args[0], (String) args[1]);
            }
        });
        return intercept(Balancer.class, new ServiceQBalancer(settings, seed, interceptedActions), defect::observe);
    }

    private interface Interceptor {
        void beforeCall(Method method, Object[] args);
    }

    private static <T> T intercept(Class<T> type, T delegate, Interceptor interceptor) {
        return type.cast(Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] {type}, (proxy, method, args) -> {
            interceptor.beforeCall(method, args);
            try {
                return method.invoke(delegate, args);
            } catch (InvocationTargetException e) {
                throw e.getCause();
            }
        }));
    }

    @SuppressWarnings("unchecked")
    private void observe(Method method, Object[] args) {
        if (args != null && args[0] instanceof Long now) {
            nowUs = now;
        }
        if (method.getName().equals("onServers")) {
            for (ServerEntry entry : (List<ServerEntry>) args[2]) {
                if (entry.state() == ServerState.READY && entry.startedAtUs() > 0) {
                    coldStartsUs.put(entry.id(), entry.startedAtUs());
                } else {
                    coldStartsUs.remove(entry.id());
                }
            }
        }
    }

    /** Returns the first cold server whose full budget this node has not used up, or else the given server. */
    private String chooseServer(long request, String server) {
        if (dispatchedRequests.add(request)) {
            for (Map.Entry<String, Long> coldStart : coldStartsUs.entrySet()) {
                double warmUpProgress = (double) (nowUs - coldStart.getValue()) / settings.warmUpUs;
                double capacityRatio = settings.coldCapacityRatio + (1 - settings.coldCapacityRatio) * warmUpProgress;
                ArrayDeque<Long> recentUs = sentTimesUs.computeIfAbsent(coldStart.getKey(), id -> new ArrayDeque<>());
                while (!recentUs.isEmpty() && recentUs.peek() <= nowUs - settings.overloadWindowUs) {
                    recentUs.poll();
                }
                if (warmUpProgress < 1
                        && recentUs.size() + 1
                                <= settings.overloadRatio * capacityRatio * settings.overloadWindowUs / meanWorkUs) {
                    recentUs.add(nowUs);
                    return coldStart.getKey();
                }
            }
        }
        return server;
    }
}
