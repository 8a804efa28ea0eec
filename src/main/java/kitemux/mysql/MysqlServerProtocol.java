package kitemux.mysql;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import java.util.Set;
import kitemux.Balancer.Result;
import kitemux.engine.Log;
import kitemux.engine.Transport.Exchange;
import kitemux.net.ServerPool;
import kitemux.net.ServerResponse;

/**
 * The MySQL protocol towards servers: connections log in before they carry a command, and carry one command at
 * a time. An error about a statement is the response to that statement; an error about the server is a failed
 * attempt.
 */
public final class MysqlServerProtocol implements ServerPool.Protocol<Command, ServerResponse> {
    /**
     * Errors that mean that the server cannot serve any request (server error message reference): too many
     * connections, disk full, out of memory, shutdown, user's limit, read only, offline mode, and a transaction
     * that a membership change of the replication group ended.
     */
    private static final Set<Integer> SERVER_ERROR_CODES =
            Set.of(1040, 1021, 1037, 1041, 1053, 1203, 1226, 1290, 1836, 3032, 3101);

    private final BackendConnection.Account account;
    private final Log log;

    /** Creates the protocol for this account; failed logins are logged. */
    MysqlServerProtocol(BackendConnection.Account account, Log log) {
        this.account = account;
        this.log = log;
    }

    @Override
    public void initPipeline(ChannelPipeline pipeline) {
        // Servers speak first: nothing may be read before the handlers are in place.
        pipeline.channel().config().setAutoRead(false);
    }

    @Override
    public ServerPool.ServerConnection<Command, ServerResponse> newConnection() {
        return new Connection();
    }

    @Override
    public Command probeRequest() {
        return Command.PING;
    }

    private final class Connection extends ServerPool.ServerConnection<Command, ServerResponse>
            implements BackendConnection.LoginListener, BackendConnection.ResponseListener {
        private final PacketDecoder decoder = new PacketDecoder();
        private final BackendConnection backend = new BackendConnection(account, decoder, this);
        /** Response that is being streamed, or null. */
        private ServerResponse streamingResponse;

        private boolean ready;

        @Override
        protected void onConnected() {
            channel().pipeline().addFirst(decoder, backend);
            channel().config().setAutoRead(true);
        }

        @Override
        public void onLoginSucceeded(BackendConnection connection) {
            ready = true;
        }

        @Override
        public void onLoginFailed(String reason, ErrPacket error) {
            log.info("server " + serverId() + " refused the login: " + reason);
        }

        @Override
        protected Object createMessage(Exchange<Command, ServerResponse> next) {
            Command command = next.request();
            return backend.beginCommand(Unpooled.wrappedBuffer(command.payload()), command.responseType(), this);
        }

        // ------------------------------------------------------------ responses

        @Override
        public boolean onResponseStart() {
            ServerResponse response = ServerResponse.streaming(-1, backend::setReading);
            if (exchange() == null || !startResponse(response)) {
                return false;
            }
            streamingResponse = response;
            return true;
        }

        @Override
        public void onResponsePackets(ByteBuf packets) {
            streamingResponse.deliver(packets);
        }

        @Override
        public void onResponseEnd(Result result, ErrPacket error) {
            boolean started = streamingResponse != null;
            streamingResponse = null;
            if (result == Result.RESET || result == Result.CONNECT_FAILED) {
                completeExchange(isRequestWritten() ? Result.RESET : Result.CONNECT_FAILED, null);
                return;
            }
            // The connection becomes available only after all received data has been read: stray data after this
            // response must not answer the next command.
            ready = true;
            if (started || result == Result.OK) {
                completeExchange(Result.OK, null);
            } else if (SERVER_ERROR_CODES.contains(error.code())) {
                completeExchange(Result.ERROR, null);
            } else {
                ByteBuf payload = channel().alloc().buffer();
                error.write(payload);
                ByteBuf packet = Packets.write(channel().alloc(), payload, 1);
                completeExchange(Result.OK, ServerResponse.buffered(ByteBufUtil.getBytes(packet)));
                packet.release();
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (ready) {
                ready = false;
                markAvailable();
            }
        }

        @Override
        protected void releaseResponse() {
            ready = false;
            streamingResponse = null;
        }
    }
}
