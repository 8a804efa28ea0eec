package kitemux.net;

import java.util.List;

/**
 * What a node holds and how it keeps up, for its operators.
 *
 * @param buffers memory held by buffers
 * @param budgets what each budget of memory holds
 * @param sockets what the system may hold for the sockets
 * @param heap the heap of the process
 * @param clients connections of clients
 * @param loop delays of the event loop
 */
public record NodeUsage(
        BufferUsage buffers,
        List<ByteBudget.Usage> budgets,
        SocketUsage sockets,
        HeapUsage heap,
        ClientUsage clients,
        LoopUsage loop) {}
