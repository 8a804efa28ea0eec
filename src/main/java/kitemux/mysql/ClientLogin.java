package kitemux.mysql;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.concurrent.TimeUnit;
import kitemux.mysql.PacketDecoder.Part;

/**
 * Authenticates a client ("Connection Phase"): it sends the handshake, verifies the client's proof, requests a
 * switch to a plugin that the user has if necessary, and then hands the connection over to the handler of
 * commands. A rejected client receives the protocol's error and is disconnected. Used on the event loop only.
 */
final class ClientLogin extends ChannelInboundHandlerAdapter {
    /** Capabilities that are offered to clients. */
    static final long OFFERED_CAPABILITIES = BackendConnection.REQUESTED_CAPABILITIES
            | Capabilities.CONNECT_WITH_DB
            | Capabilities.CONNECT_ATTRS
            | Capabilities.MULTI_STATEMENTS;
    /**
     * Longest payload of an unauthenticated client: a user name, a proof and 64 KiB of attributes. The limit
     * protects memory against clients that know no password.
     */
    static final int MAX_PAYLOAD_BYTES = 1 << 17;

    static final String SERVER_VERSION = "8.4.0-kitemux";
    /** Time that a rejected client has to read the error before the connection is closed. */
    private static final long LINGER_MS = 1_000;

    private static final int UTF8MB4_COLLATION = 45;
    private static final SecureRandom RANDOM = new SecureRandom();

    private final Users users;
    private final long connectionId;
    private final AuthPlugin initialPlugin;
    private final long loginTimeoutMs;
    private final PacketDecoder decoder;
    private final LoginHandler loginHandler;
    private Channel channel;
    private PayloadAssembler assembler;
    private Future<?> loginTimeout;
    private AuthPlugin plugin;
    private byte[] nonce;
    private HandshakeResponse handshake;
    private boolean finished;

    /** Takes over authenticated connections. */
    interface LoginHandler {
        /** Takes over a connection. The OK has been written; the next packet is the first of a command. */
        void onLoginSucceeded(Channel channel, PacketDecoder decoder, HandshakeResponse handshake);
    }

    /**
     * Creates the handler of an open connection.
     *
     * @param users accounts that may log in
     * @param connectionId identifier of the connection, sent to the client
     * @param initialPlugin plugin that the handshake names
     * @param loginTimeoutMs time limit of a login, in milliseconds; protects file descriptors against clients
     *     that never complete it
     * @param decoder precedes this handler in the pipeline
     * @param loginHandler takes over authenticated connections
     */
    ClientLogin(
            Users users,
            long connectionId,
            AuthPlugin initialPlugin,
            long loginTimeoutMs,
            PacketDecoder decoder,
            LoginHandler loginHandler) {
        this.users = users;
        this.connectionId = connectionId;
        this.initialPlugin = initialPlugin;
        this.loginTimeoutMs = loginTimeoutMs;
        this.decoder = decoder;
        this.loginHandler = loginHandler;
    }

    /** Creates a nonce without zero bytes, which would end it on the wire. */
    private static byte[] newNonce() {
        byte[] generated = new byte[AuthPlugin.NONCE_BYTES];
        for (int i = 0; i < generated.length; i++) {
            generated[i] = (byte) (1 + RANDOM.nextInt(127));
        }
        return generated;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
        assembler = new PayloadAssembler(channel.alloc(), MAX_PAYLOAD_BYTES);
        loginTimeout = channel.eventLoop()
                .schedule(
                        () -> reject(new ErrPacket(1159, "08S01", "the login took too long")),
                        loginTimeoutMs,
                        TimeUnit.MILLISECONDS);
        plugin = initialPlugin;
        nonce = newNonce();
        ByteBuf out = channel.alloc().buffer();
        new InitialHandshake(
                        SERVER_VERSION,
                        connectionId,
                        nonce,
                        OFFERED_CAPABILITIES,
                        UTF8MB4_COLLATION,
                        OkPacket.AUTOCOMMIT,
                        initialPlugin.pluginName)
                .write(out);
        send(out);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        Part part = (Part) message;
        if (finished) {
            part.bytes().release();
            return;
        }
        ByteBuf payload = assembler.add(part);
        if (payload == null) {
            return;
        }
        try {
            if (handshake == null) {
                handleHandshakeResponse(HandshakeResponse.read(payload, OFFERED_CAPABILITIES));
            } else {
                byte[] proof = new byte[payload.readableBytes()];
                payload.readBytes(proof);
                verifyProof(proof);
            }
        } finally {
            payload.release();
        }
    }

    private void handleHandshakeResponse(HandshakeResponse response) {
        handshake = response;
        Users.User user = users.find(response.user());
        // Older clients name no plugin and use mysql_native_password.
        String clientPlugin = response.plugin().isEmpty() ? AuthPlugin.NATIVE.pluginName : response.plugin();
        if (clientPlugin.equals(plugin.pluginName) && user.digests().containsKey(plugin)) {
            verifyProof(response.proof());
            return;
        }
        if (!user.digests().containsKey(plugin)) {
            plugin = user.digests().keySet().iterator().next();
        }
        nonce = newNonce();
        ByteBuf out = channel.alloc().buffer().writeByte(0xfe);
        Fields.putNulText(out, plugin.pluginName);
        send(out.writeBytes(nonce).writeByte(0));
    }

    private void verifyProof(byte[] proof) {
        if (!users.isProof(users.find(handshake.user()), plugin, proof, nonce)) {
            reject(new ErrPacket(
                    1045,
                    "28000",
                    "Access denied for user '" + handshake.user() + "' (using password: "
                            + (proof.length > 0 ? "YES" : "NO") + ")"));
            return;
        }
        finished = true;
        loginTimeout.cancel(false);
        if (plugin == AuthPlugin.CACHING_SHA2) {
            send(Unpooled.wrappedBuffer(new byte[] {1, 3}));
        }
        ByteBuf ok = channel.alloc().buffer();
        new OkPacket(0, 0, OkPacket.AUTOCOMMIT, 0, "", null).write(ok, OkPacket.HEADER, handshake.capabilities());
        send(ok);
        decoder.expectSequence(0);
        channel.pipeline().remove(this);
        loginHandler.onLoginSucceeded(channel, decoder, handshake);
    }

    private void send(ByteBuf payload) {
        int sequence = decoder.expectedSequence();
        decoder.expectSequence(sequence + 1);
        channel.writeAndFlush(Packets.write(channel.alloc(), payload, sequence));
    }

    private void reject(ErrPacket error) {
        if (finished) {
            return;
        }
        finished = true;
        loginTimeout.cancel(false);
        ByteBuf out = channel.alloc().buffer();
        error.write(out);
        // Closing a socket with unread bytes would reset the connection and lose the error. Input is therefore read
        // and dropped for a while, until the client closes.
        channel.writeAndFlush(Packets.write(channel.alloc(), out, decoder.expectedSequence()))
                .addListener(done -> ((DuplexChannel) channel).shutdownOutput());
        channel.eventLoop().schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        finished = true;
        loginTimeout.cancel(false);
        context.fireChannelInactive();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        assembler.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof ProtocolException exception) {
            reject(exception.toErrPacket());
        } else if (cause instanceof IOException) {
            channel.close();
        } else {
            context.fireExceptionCaught(cause);
        }
    }
}
