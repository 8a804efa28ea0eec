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
    static final long OFFERED = BackendConnection.WANTED
            | Capabilities.CONNECT_WITH_DB
            | Capabilities.CONNECT_ATTRS
            | Capabilities.MULTI_STATEMENTS;
    /** Longest payload of a client that has not logged in: a name, a proof and 64 KiB of attributes. It
     * guards memory against those who need not know any password. */
    static final int MOST_PAYLOAD = 1 << 17;

    static final String VERSION = "8.4.0-kitemux";
    /** How long one that was not let in may take to read why. */
    private static final long LINGER_MS = 1_000;

    private static final int UTF8MB4 = 45;
    private static final SecureRandom RANDOM = new SecureRandom();

    private final Users users;
    private final long connectionId;
    private final AuthPlugin greeted;
    private final long loginMs;
    private final PacketDecoder decoder;
    private final LoginHandler entrance;
    private Channel channel;
    private PayloadAssembler gatherer;
    private Future<?> patience;
    private AuthPlugin scramble;
    private byte[] nonce;
    private HandshakeResponse greeting;
    private boolean over;

    /** What follows a login. */
    interface LoginHandler {
        /** Takes the connection over; the OK has been written, and the next packet is a command's first. */
        void letIn(Channel channel, PacketDecoder decoder, HandshakeResponse greeting);
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
            AuthPlugin greeted,
            long loginMs,
            PacketDecoder decoder,
            LoginHandler entrance) {
        this.users = users;
        this.connectionId = connectionId;
        this.greeted = greeted;
        this.loginMs = loginMs;
        this.decoder = decoder;
        this.entrance = entrance;
    }

    /** Without zeros, which end it on the wire. */
    private static byte[] newNonce() {
        byte[] fresh = new byte[AuthPlugin.NONCE_BYTES];
        for (int i = 0; i < fresh.length; i++) {
            fresh[i] = (byte) (1 + RANDOM.nextInt(127));
        }
        return fresh;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
        gatherer = new PayloadAssembler(channel.alloc(), MOST_PAYLOAD);
        patience = channel.eventLoop()
                .schedule(
                        () -> refuse(new ErrPacket(1159, "08S01", "the login took too long")),
                        loginMs,
                        TimeUnit.MILLISECONDS);
        scramble = greeted;
        nonce = newNonce();
        ByteBuf out = channel.alloc().buffer();
        new InitialHandshake(VERSION, connectionId, nonce, OFFERED, UTF8MB4, OkPacket.AUTOCOMMIT, greeted.pluginName)
                .write(out);
        send(out);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        Part part = (Part) message;
        if (over) {
            part.bytes().release();
            return;
        }
        ByteBuf payload = gatherer.add(part);
        if (payload == null) {
            return;
        }
        try {
            if (greeting == null) {
                answered(HandshakeResponse.read(payload, OFFERED));
            } else {
                byte[] proof = new byte[payload.readableBytes()];
                payload.readBytes(proof);
                check(proof);
            }
        } finally {
            payload.release();
        }
    }

    private void answered(HandshakeResponse answer) {
        greeting = answer;
        Users.User user = users.find(answer.user());
        // Older clients name none and mean the first there was.
        String used = answer.plugin().isEmpty() ? AuthPlugin.NATIVE.pluginName : answer.plugin();
        if (used.equals(scramble.pluginName) && user.digests().containsKey(scramble)) {
            check(answer.proof());
            return;
        }
        if (!user.digests().containsKey(scramble)) {
            scramble = user.digests().keySet().iterator().next();
        }
        nonce = newNonce();
        ByteBuf out = channel.alloc().buffer().writeByte(0xfe);
        Fields.putNulText(out, scramble.pluginName);
        send(out.writeBytes(nonce).writeByte(0));
    }

    private void check(byte[] proof) {
        if (!users.isProof(users.find(greeting.user()), scramble, proof, nonce)) {
            refuse(new ErrPacket(
                    1045,
                    "28000",
                    "Access denied for user '" + greeting.user() + "' (using password: "
                            + (proof.length > 0 ? "YES" : "NO") + ")"));
            return;
        }
        over = true;
        patience.cancel(false);
        if (scramble == AuthPlugin.CACHING_SHA2) {
            send(Unpooled.wrappedBuffer(new byte[] {1, 3}));
        }
        ByteBuf ok = channel.alloc().buffer();
        new OkPacket(0, 0, OkPacket.AUTOCOMMIT, 0, "", null).write(ok, OkPacket.HEADER, greeting.capabilities());
        send(ok);
        decoder.expect(0);
        channel.pipeline().remove(this);
        entrance.letIn(channel, decoder, greeting);
    }

    private void send(ByteBuf payload) {
        int sequence = decoder.expected();
        decoder.expect(sequence + 1);
        channel.writeAndFlush(Packets.write(channel.alloc(), payload, sequence));
    }

    private void refuse(ErrPacket error) {
        if (over) {
            return;
        }
        over = true;
        patience.cancel(false);
        ByteBuf out = channel.alloc().buffer();
        error.write(out);
        // Closed with bytes unread, the system would reset the connection, and the error with it: what still
        // comes is read and dropped until the client closes, for a while.
        channel.writeAndFlush(Packets.write(channel.alloc(), out, decoder.expected()))
                .addListener(done -> ((DuplexChannel) channel).shutdownOutput());
        channel.eventLoop().schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        over = true;
        patience.cancel(false);
        context.fireChannelInactive();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        gatherer.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof ProtocolException fault) {
            refuse(fault.toErrPacket());
        } else if (cause instanceof IOException) {
            channel.close();
        } else {
            context.fireExceptionCaught(cause);
        }
    }
}
