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
 * A process under a debugger that suspends single threads at points of their code while the others run. Tests use it to
 * force an order between the threads of another process without hooks in the program.
 */
final class Debuggee implements AutoCloseable {
    private static final long TIMEOUT_MS = 30_000;
    /** The first and last of the opcodes ireturn to return, which end a method. */
    private static final int FIRST_RETURN_OPCODE = 0xac;

    private static final int LAST_RETURN_OPCODE = 0xb1;

    final Process process;
    private final VirtualMachine machine;

    /** A suspended thread; the other threads run. */
    record SuspendedThread(EventSet event, ThreadReference thread) {
        void resume() {
            event.resume();
        }
    }

    private Debuggee(Process process, VirtualMachine machine) {
        this.process = process;
        this.machine = machine;
    }

    /**
     * Starts a process, which is suspended until {@link #awaitSuspended} is called.
     *
     * @param command the command line; its first word is the JVM
     */
    static Debuggee start(List<String> command, Map<String, String> env)
            throws IOException, IllegalConnectorArgumentsException {
        ListeningConnector connector = Bootstrap.virtualMachineManager().listeningConnectors().stream()
                .filter(each -> each.name().equals("com.sun.jdi.SocketListen"))
                .findFirst()
                .orElseThrow();
        Map<String, Connector.Argument> arguments = connector.defaultArguments();
        arguments.get("localAddress").setValue("127.0.0.1");
        arguments.get("port").setValue("0");
        arguments.get("timeout").setValue(Long.toString(TIMEOUT_MS));
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

    /** Suspends the next thread that enters a method. */
    void suspendAtEntry(String type, String method) {
        suspendAt(type, method, false);
    }

    /** Suspends the next thread that is about to return from a method. */
    void suspendAtReturn(String type, String method) {
        suspendAt(type, method, true);
    }

    private void suspendAt(String type, String method, boolean end) {
        ClassPrepareRequest loads = machine.eventRequestManager().createClassPrepareRequest();
        loads.addClassFilter(type);
        loads.setSuspendPolicy(EventRequest.SUSPEND_EVENT_THREAD);
        loads.putProperty("then", (Consumer<ReferenceType>) loaded -> setBreakpoint(loaded, method, end));
        loads.enable();
        machine.classesByName(type).forEach(each -> setBreakpoint(each, method, end));
    }

    /** Waits until a thread is suspended in a method that a method of this class called. */
    @SuppressWarnings("unchecked")
    SuspendedThread awaitSuspended(String caller) throws InterruptedException, IncompatibleThreadStateException {
        return awaitEvent(event -> {
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

    private void setBreakpoint(ReferenceType type, String name, boolean end) {
        Method method = type.methodsByName(name).get(0);
        byte[] code = method.bytecodes();
        int last = code[code.length - 1] & 0xff;
        assertTrue(
                !end || last >= FIRST_RETURN_OPCODE && last <= LAST_RETURN_OPCODE,
                method + " does not end with a return instruction");
        EventRequest request = machine.eventRequestManager()
                .createBreakpointRequest(method.locationOfCodeIndex(end ? code.length - 1 : 0));
        request.setSuspendPolicy(EventRequest.SUSPEND_EVENT_THREAD);
        request.enable();
    }

    /** Resumes a suspended thread and suspends it again when its method has returned to the caller. */
    SuspendedThread stepOut(SuspendedThread from) throws InterruptedException, IncompatibleThreadStateException {
        StepRequest step = machine.eventRequestManager()
                .createStepRequest(from.thread(), StepRequest.STEP_MIN, StepRequest.STEP_OUT);
        step.setSuspendPolicy(EventRequest.SUSPEND_EVENT_THREAD);
        step.enable();
        from.resume();
        SuspendedThread stop = awaitEvent(StepEvent.class::isInstance);
        machine.eventRequestManager().deleteEventRequest(step);
        return stop;
    }

    /** A condition on debugger events. */
    private interface EventCondition {
        boolean matches(Event event) throws IncompatibleThreadStateException;
    }

    private SuspendedThread awaitEvent(EventCondition condition)
            throws InterruptedException, IncompatibleThreadStateException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (true) {
            EventSet events = machine.eventQueue()
                    .remove(Math.max(1, TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime())));
            assertTrue(events != null, "no thread reached the breakpoint");
            for (Event event : events) {
                if (condition.matches(event)) {
                    return new SuspendedThread(events, ((LocatableEvent) event).thread());
                }
            }
            events.resume();
        }
    }

    /** Waits until a thread of this name waits on a monitor. Fails if the process ends before. */
    void awaitWaiting(String name) {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        try {
            while (machine.allThreads().stream()
                    .noneMatch(thread ->
                            thread.name().equals(name) && thread.status() == ThreadReference.THREAD_STATUS_WAIT)) {
                assertTrue(System.nanoTime() < deadline, "no thread " + name + " waits");
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
