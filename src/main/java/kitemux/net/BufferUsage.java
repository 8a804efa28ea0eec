package kitemux.net;

/**
 * What the buffers of a node hold, all in bytes.
 *
 * @param directBytes direct memory of all buffers, whatever part of it has been filled; input is read into them
 * @param responseBytes responses on the heap, until they are complete and until their clients have taken them
 * @param unsentBytes what is queued for clients that have not taken it yet
 * @param requestBytes memory reserved for request heads and bodies and for input that waits behind a request
 */
public record BufferUsage(long directBytes, long responseBytes, long unsentBytes, long requestBytes) {}
