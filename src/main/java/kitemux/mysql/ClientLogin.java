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
 * Lets a client in ("Connection Phase"): greets, checks its proof, asks it to switch to a plugin that its
 * user has, and then gives its place in the pipeline to what carries commands. One that is not let in gets
 * the protocol's error and its connection ends. On the loop alone.
 */
final class ClientLogin extends ChannelInboundHandlerAdapter {
    /** What this program can do towards clients. */
    static final long OFFERED_CAPABILITIES = BackendConnection.REQUESTED_CAPABILITIES
            | Capabilities.CONNECT_WITH_DB
            | Capabilities.CONNECT_ATTRS
            | Capabilities.MULTI_STATEMENTS;
    /** Longest payload of a client that has not logged in: a name, a proof and 64 KiB of attributes. It
     * guards memory against those who need not know any password. */
    static final int MAX_PAYLOAD_BYTES = 1 << 17;

    static final String SERVER_VERSION = "8.4.0-kitemux";
    /** How long one that was not let in may take to read why. */
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

    /** What follows a login. */
    interface LoginHandler {
        /** Takes the connection over; the OK has been written, and the next packet is a command's first. */
        void onLoginSucceeded(Channel channel, PacketDecoder decoder, HandshakeResponse handshake);
    }

    /**
     * One for a connection that is open.
     *
     * @param connectionId a number for it, told to the client
     * @param greeted the plugin that the greeting names
     * @param loginMs a login that takes longer is ended; guards descriptors against those that never end it
     * @param decoder stands in front of it
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

    /** Without zeros, which end it on the wire. */
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
        // Older clients name none and mean the first there was.
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
        // Closed with bytes unread, the system would reset the connection, and the error with it: what still
        // comes is read and dropped until the client closes, for a while.
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
