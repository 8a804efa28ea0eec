package kitemux.net;

/**
 * What a node holds and how it keeps up, for its operators.
 *
 * @param buffers memory held by buffers
 * @param clients connections of clients
 * @param loop delays of the event loop
 */
public record NodeUsage(BufferUsage buffers, ClientUsage clients, LoopUsage loop) {}
