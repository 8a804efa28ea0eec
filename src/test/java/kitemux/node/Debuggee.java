package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.jdi.Bootstrap;
import com.sun.jdi.IncompatibleThreadStateException;
import com.sun.jdi.Method;
import com.sun.jdi.ReferenceType;
import com.sun.jdi.ThreadReference;
import com.sun.jdi.VMDisconnectedException;
import com.sun.jdi.VirtualMachine;
import com.sun.jdi.connect.Connector;
import com.sun.jdi.connect.IllegalConnectorArgumentsException;
import com.sun.jdi.connect.ListeningConnector;
import com.sun.jdi.event.BreakpointEvent;
import com.sun.jdi.event.ClassPrepareEvent;
import com.sun.jdi.event.Event;
import com.sun.jdi.event.EventSet;
import com.sun.jdi.event.LocatableEvent;
import com.sun.jdi.event.StepEvent;
import com.sun.jdi.request.ClassPrepareRequest;
import com.sun.jdi.request.EventRequest;
import com.sun.jdi.request.StepRequest;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A process under a debugger, which stops single threads of it at points of their code while the others run
 * on: so that a test forces an order between threads of another process, with nothing in the program for it.
 */
final class Debuggee implements AutoCloseable {
    private static final long MOST_MS = 30_000;
    /** The opcodes ireturn to return, which end a method. */
    private static final int FIRST_RETURN = 0xac;

    private static final int LAST_RETURN = 0xb1;

    final Process process;
    private final VirtualMachine machine;

    /** A thread that stands still; the others run. */
    record Stop(EventSet event, ThreadReference thread) {
        void goOn() {
            event.resume();
        }
    }

    private Debuggee(Process process, VirtualMachine machine) {
        this.process = process;
        this.machine = machine;
    }

    /** Starts it; it runs once a stop is awaited. The command's first word is the JVM. */
    static Debuggee start(List<String> command, Map<String, String> env)
            throws IOException, IllegalConnectorArgumentsException {
        ListeningConnector connector = Bootstrap.virtualMachineManager().listeningConnectors().stream()
                .filter(each -> each.name().equals("com.sun.jdi.SocketListen"))
                .findFirst()
                .orElseThrow();
        Map<String, Connector.Argument> arguments = connector.defaultArguments();
        arguments.get("localAddress").setValue("127.0.0.1");
        arguments.get("port").setValue("0");
        arguments.get("timeout").setValue(Long.toString(MOST_MS));
        String port = connector.startListening(arguments).replaceAll(".*:", "");
        arguments.get("port").setValue(port);
        List<String> all = new ArrayList<>(command);
        all.add(1, "-agentlib:jdwp=transport=dt_socket,server=n,suspend=y,address=127.0.0.1:" + port);
        ProcessBuilder builder = new ProcessBuilder(all);
        builder.environment().putAll(env);
        Process process = builder.redirectErrorStream(true).start();
        try {
            return new Debuggee(process, connector.accept(arguments));
        } catch (IOException e) {
            process.destroyForcibly();
            throw e;
        } finally {
            connector.stopListening(arguments);
        }
    }

    /** The next thread that comes to the begin of a method stands still there. */
    void stopAtBegin(String type, String method) {
        stopAt(type, method, false);
    }

    /** The next thread that is about to return from a method stands still there. */
    void stopAtEnd(String type, String method) {
        stopAt(type, method, true);
    }

    private void stopAt(String type, String method, boolean end) {
        ClassPrepareRequest loads = machine.eventRequestManager().createClassPrepareRequest();
        loads.addClassFilter(type);
        loads.setSuspendPolicy(EventRequest.SUSPEND_EVENT_THREAD);
        loads.putProperty("then", (Consumer<ReferenceType>) loaded -> stopIn(loaded, method, end));
        loads.enable();
        machine.classesByName(type).forEach(each -> stopIn(each, method, end));
    }

    /** Until a thread stands still that was called from a method of this class. */
    @SuppressWarnings("unchecked")
    Stop awaitStop(String caller) throws InterruptedException, IncompatibleThreadStateException {
        return next(event -> {
            if (event instanceof ClassPrepareEvent loaded) {
                ((Consumer<ReferenceType>) loaded.request().getProperty("then")).accept(loaded.referenceType());
            }
            if (event instanceof BreakpointEvent at
                    && at.thread().frame(1).location().declaringType().name().equals(caller)) {
                machine.eventRequestManager().deleteEventRequest(at.request());
                return true;
            }
            return false;
        });
    }

    private void stopIn(ReferenceType type, String name, boolean end) {
        Method method = type.methodsByName(name).get(0);
        byte[] code = method.bytecodes();
        int last = code[code.length - 1] & 0xff;
        assertTrue(!end || last >= FIRST_RETURN && last <= LAST_RETURN, method + " ends otherwise");
        EventRequest request = machine.eventRequestManager()
                .createBreakpointRequest(method.locationOfCodeIndex(end ? code.length - 1 : 0));
        request.setSuspendPolicy(EventRequest.SUSPEND_EVENT_THREAD);
        request.enable();
    }

    /** A thread that stands still goes on to where its method was called, and stands still there. */
    Stop stepOut(Stop from) throws InterruptedException, IncompatibleThreadStateException {
        StepRequest step = machine.eventRequestManager()
                .createStepRequest(from.thread(), StepRequest.STEP_MIN, StepRequest.STEP_OUT);
        step.setSuspendPolicy(EventRequest.SUSPEND_EVENT_THREAD);
        step.enable();
        from.goOn();
        Stop stop = next(StepEvent.class::isInstance);
        machine.eventRequestManager().deleteEventRequest(step);
        return stop;
    }

    /** What is asked of events. */
    private interface Which {
        boolean is(Event event) throws IncompatibleThreadStateException;
    }

    private Stop next(Which which) throws InterruptedException, IncompatibleThreadStateException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MOST_MS);
        while (true) {
            EventSet events =
                    machine.eventQueue().remove(Math.max(1, TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime())));
            assertTrue(events != null, "nothing comes to where it should stop");
            for (Event event : events) {
                if (which.is(event)) {
                    return new Stop(events, ((LocatableEvent) event).thread());
                }
            }
            events.resume();
        }
    }

    /** Until a thread of this name waits for another; throws if the process ends before. */
    void awaitWaiting(String name) {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MOST_MS);
        try {
            while (machine.allThreads().stream()
                    .noneMatch(thread ->
                            thread.name().equals(name) && thread.status() == ThreadReference.THREAD_STATUS_WAIT)) {
                assertTrue(System.nanoTime() < until, "no thread " + name + " waits");
            }
        } catch (VMDisconnectedException e) {
            throw new AssertionError("the process has ended, and no thread " + name + " waited", e);
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
