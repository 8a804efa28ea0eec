package kitemux.mysql;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.IOException;
import java.util.Map;
import kitemux.Balancer.Result;
import kitemux.mysql.PacketDecoder.Part;
import kitemux.mysql.ResponseTracker.Completion;
import kitemux.mysql.ResponseTracker.ResponseType;

/**
 * A connection to a server: logs in ("Connection Phase"), and then carries one command at a time. What of an
 * answer has come is passed on at once, as the server wrote it; a gigabyte of rows takes the memory of what
 * one read brought. On the loop alone.
 */
final class BackendConnection extends ChannelInboundHandlerAdapter {
    /** What this program can do towards servers, and what both sides then keep to. */
    static final long WANTED = Capabilities.LONG_PASSWORD
            | Capabilities.LONG_FLAG
            | Capabilities.PROTOCOL_41
            | Capabilities.TRANSACTIONS
            | Capabilities.SECURE_CONNECTION
            | Capabilities.MULTI_RESULTS
            | Capabilities.PS_MULTI_RESULTS
            | Capabilities.PLUGIN_AUTH
            | Capabilities.PLUGIN_AUTH_LENENC_DATA
            | Capabilities.DEPRECATE_EOF;

    private static final int MOST_PACKET = 1 << 30;
    private static final int UTF8MB4 = 45;
    private static final int AUTH_SWITCH = 0xfe;
    private static final int AUTH_MORE = 0x01;
    private static final int FAST_PATH = 3;

    /** Who logs in, and where it begins; an empty database is none. */
    record Account(String user, String password, String database) {}

    /** Told of a connection's login: one of these, once. */
    interface LoginListener {
        void loggedIn(BackendConnection connection);

        /** It is closed, and nothing has run on it; the error is the server's, or null. */
        void refused(String why, ErrPacket error);
    }

    /** Told of an answer. */
    interface ResponseListener {
        /** The first of it has come, and it is no error. False to break it off: no end is told then. */
        boolean begun();

        /** More of it, in packets as the server numbered them; to be released here. */
        void more(ByteBuf packets);

        /** Its one end; the error is the server's, or null. Behind a begin only OK ends it whole. */
        void ended(Result result, ErrPacket error);
    }

    private enum Phase {
        GREETING,
        LOGIN,
        IDLE,
        BUSY,
        CLOSED
    }

    private final Account account;
    private final LoginListener login;
    private final PacketDecoder decoder;
    private Channel channel;
    private PayloadAssembler gatherer;
    private Phase phase = Phase.GREETING;
    private byte[] nonce;
    private long capabilities;
    private int status;

    private ResponseListener heard;
    private ResponseTracker tracker;
    private boolean written;
    private boolean begun;
    /** Whether the payload that comes now is gathered, to be seen. */
    private boolean gathers;

    private int firstSequence;

    /** A connection that is not open yet; the decoder stands in front of it. */
    BackendConnection(Account account, PacketDecoder decoder, LoginListener login) {
        this.account = account;
        this.decoder = decoder;
        this.login = login;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
        gatherer = new PayloadAssembler(channel.alloc(), ResponseTracker.MOST_SEEN);
    }

    /** What both sides keep to. */
    long capabilities() {
        return capabilities;
    }

    /** SERVER_STATUS flags as last told: a transaction may be open. */
    int status() {
        return status;
    }

    /** Whether it waits for a command. */
    boolean isIdle() {
        return phase == Phase.IDLE;
    }

    // ---------------------------------------------------------------- commands

    /**
     * Takes a command up, when idle; what it returns is to be written at once.
     *
     * @param command its payload; released here
     * @return its packets, which the caller owns
     */
    ByteBuf take(ByteBuf command, ResponseType form, ResponseListener by) {
        if (phase != Phase.IDLE) {
            command.release();
            throw new IllegalStateException("not idle but " + phase);
        }
        phase = Phase.BUSY;
        heard = by;
        tracker = new ResponseTracker(form, capabilities);
        written = false;
        begun = false;
        decoder.expect(Packets.count(command.readableBytes()));
        return Packets.write(channel.alloc(), command, 0);
    }

    /**
     * Sends a command, when idle.
     *
     * @param command its payload; released here
     */
    void carry(ByteBuf command, ResponseType form, ResponseListener by) {
        channel.writeAndFlush(take(command, form, by)).addListener(done -> {
            if (done.isSuccess()) {
                written |= heard == by;
            } else {
                close();
            }
        });
    }

    /** Whether the command that it carries may have reached its server whole. */
    boolean isWritten() {
        return written;
    }

    /** Lets the server be read on, or not: where the client does not read, the server is to wait. */
    void setReading(boolean reading) {
        channel.config().setAutoRead(reading);
    }

    /** Ends it and tells no end of what it carries: a server finds its client gone. */
    void giveUp() {
        heard = null;
        close();
    }

    /** Ends it; what it carries is told its end. */
    void close() {
        channel.close();
    }

    // ---------------------------------------------------------------- what comes

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        Part part = (Part) message;
        if (phase == Phase.BUSY) {
            answer(part);
            return;
        }
        if (phase != Phase.GREETING && phase != Phase.LOGIN) {
            // Unasked for: what comes next could not be told apart from an answer.
            part.bytes().release();
            close();
            return;
        }
        ByteBuf payload = gatherer.add(part);
        if (payload != null) {
            try {
                if (phase == Phase.GREETING) {
                    greeted(InitialHandshake.read(payload));
                } else {
                    loginGoesOn(payload);
                }
            } finally {
                payload.release();
            }
        }
    }

    private void answer(Part part) {
        if (part.first()) {
            firstSequence = part.sequence();
            try {
                gathers = tracker.begins(
                        part.bytes().isReadable()
                                ? part.bytes().getUnsignedByte(part.bytes().readerIndex())
                                : -1,
                        part.wire());
            } catch (ProtocolException fault) {
                part.bytes().release();
                throw fault;
            }
        }
        if (!gathers) {
            boolean last = part.last();
            if (pass(part) && last) {
                tracker.passed();
                endIfOver();
            }
            return;
        }
        ByteBuf payload = gatherer.add(part);
        if (payload == null) {
            return;
        }
        try {
            tracker.seen(payload.duplicate());
            status = tracker.status();
            // Behind rows an error is one more packet, and the answer's end; alone it is told as such.
            if ((begun || tracker.end() != Completion.ERROR)
                    && !pass(Packets.write(channel.alloc(), payload.retain(), firstSequence))) {
                return;
            }
        } finally {
            payload.release();
        }
        endIfOver();
    }

    private boolean pass(Part part) {
        ByteBuf bytes = part.bytes();
        if (part.wire() < 0) {
            return pass(bytes);
        }
        ByteBuf header = channel.alloc()
                .buffer(PacketDecoder.HEADER)
                .writeMediumLE(part.wire())
                .writeByte(part.sequence());
        return pass(Unpooled.wrappedBuffer(header, bytes));
    }

    /** False if it was broken off; the bytes are released then. */
    private boolean pass(ByteBuf packets) {
        ResponseListener by = heard;
        if (by != null && !begun) {
            begun = true;
            if (!by.begun()) {
                giveUp();
            }
        }
        if (heard == null) {
            packets.release();
            return false;
        }
        by.more(packets);
        return heard == by;
    }

    private void endIfOver() {
        if (tracker.end() != null) {
            phase = Phase.IDLE;
            setReading(true);
            end(tracker.end() == Completion.OK ? Result.OK : Result.ERROR, tracker.error());
        }
    }

    private void end(Result result, ErrPacket error) {
        ResponseListener over = heard;
        heard = null;
        if (over != null) {
            over.ended(result, error);
        }
    }

    // ---------------------------------------------------------------- the login

    private void greeted(InitialHandshake greeting) {
        nonce = greeting.nonce();
        capabilities = WANTED & greeting.capabilities();
        status = greeting.status();
        if (!account.database().isEmpty()) {
            capabilities |= Capabilities.CONNECT_WITH_DB;
        }
        AuthPlugin scramble = scramble(greeting.plugin());
        phase = Phase.LOGIN;
        ByteBuf out = channel.alloc().buffer();
        // A plugin that is not known is answered with one that is: the server then asks to switch.
        AuthPlugin used = scramble == null ? AuthPlugin.CACHING_SHA2 : scramble;
        new HandshakeResponse(
                        capabilities,
                        MOST_PACKET,
                        UTF8MB4,
                        account.user(),
                        used.createProof(account.password(), nonce),
                        account.database(),
                        used.pluginName,
                        Map.of())
                .write(out);
        send(out);
    }

    private static AuthPlugin scramble(String plugin) {
        for (AuthPlugin each : AuthPlugin.values()) {
            if (each.pluginName.equals(plugin)) {
                return each;
            }
        }
        return null;
    }

    private void send(ByteBuf payload) {
        int sequence = decoder.expected();
        decoder.expect(sequence + 1);
        channel.writeAndFlush(Packets.write(channel.alloc(), payload, sequence));
    }

    private void loginGoesOn(ByteBuf payload) {
        int first = Fields.int1(payload, "the login's answer");
        switch (first) {
            case OkPacket.HEADER -> {
                status = OkPacket.read(payload, capabilities).status();
                phase = Phase.IDLE;
                login.loggedIn(this);
            }
            case ErrPacket.HEADER -> {
                ErrPacket error = ErrPacket.read(payload);
                refused(error.code() + " " + error.message(), error);
            }
            case AUTH_SWITCH -> {
                AuthPlugin scramble = scramble(Fields.nulText(payload, "the plugin's name"));
                if (scramble == null) {
                    refused("the server asks for a plugin that is not known", null);
                    return;
                }
                nonce = Fields.bytes(payload, AuthPlugin.NONCE_BYTES, "the nonce");
                send(Unpooled.wrappedBuffer(scramble.createProof(account.password(), nonce)));
            }
            case AUTH_MORE -> {
                if (Fields.int1(payload, "the login's answer") != FAST_PATH) {
                    // It wants the password itself, which goes over no plain connection.
                    refused("the server does not know the password's digest yet: log in there once over TLS", null);
                }
            }
            default ->
                throw new ProtocolException(ProtocolException.Kind.MALFORMED, "a login's answer begins with " + first);
        }
    }

    private void refused(String why, ErrPacket error) {
        if (phase == Phase.GREETING || phase == Phase.LOGIN) {
            phase = Phase.CLOSED;
            channel.close();
            login.refused(why, error);
        }
    }

    // ---------------------------------------------------------------- its end

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        gatherer.close();
        refused("the connection ended before the login was over", null);
        phase = Phase.CLOSED;
        // What was not written whole has not run: servers run nothing before they have all of it.
        end(written ? Result.RESET : Result.CONNECT_FAILED, null);
        context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            refused(String.valueOf(cause.getMessage()), null);
        }
        close();
    }
}
