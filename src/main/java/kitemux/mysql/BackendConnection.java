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
    static final long REQUESTED_CAPABILITIES = Capabilities.LONG_PASSWORD
            | Capabilities.LONG_FLAG
            | Capabilities.PROTOCOL_41
            | Capabilities.TRANSACTIONS
            | Capabilities.SECURE_CONNECTION
            | Capabilities.MULTI_RESULTS
            | Capabilities.PS_MULTI_RESULTS
            | Capabilities.PLUGIN_AUTH
            | Capabilities.PLUGIN_AUTH_LENENC_DATA
            | Capabilities.DEPRECATE_EOF;

    private static final int MAX_PACKET_BYTES = 1 << 30;
    private static final int UTF8MB4_COLLATION = 45;
    private static final int AUTH_SWITCH_HEADER = 0xfe;
    private static final int AUTH_MORE_DATA_HEADER = 0x01;
    private static final int FAST_AUTH_SUCCESS = 3;

    /** Who logs in, and where it begins; an empty database is none. */
    record Account(String user, String password, String database) {}

    /** Told of a connection's login: one of these, once. */
    interface LoginListener {
        void onLoginSucceeded(BackendConnection connection);

        /** It is closed, and nothing has run on it; the error is the server's, or null. */
        void onLoginFailed(String reason, ErrPacket error);
    }

    /** Told of an answer. */
    interface ResponseListener {
        /** The first of it has come, and it is no error. False to break it off: no end is told then. */
        boolean onResponseStart();

        /** More of it, in packets as the server numbered them; to be released here. */
        void onResponsePackets(ByteBuf packets);

        /** Its one end; the error is the server's, or null. Behind a begin only OK ends it whole. */
        void onResponseEnd(Result result, ErrPacket error);
    }

    private enum Phase {
        GREETING,
        LOGIN,
        IDLE,
        BUSY,
        CLOSED
    }

    private final Account account;
    private final LoginListener loginListener;
    private final PacketDecoder decoder;
    private Channel channel;
    private PayloadAssembler assembler;
    private Phase phase = Phase.GREETING;
    private byte[] nonce;
    private long capabilities;
    private int status;

    private ResponseListener listener;
    private ResponseTracker tracker;
    private boolean commandWritten;
    private boolean responseStarted;
    /** Whether the payload that comes now is gathered, to be seen. */
    private boolean inspectsPayload;

    private int payloadSequence;

    /** A connection that is not open yet; the decoder stands in front of it. */
    BackendConnection(Account account, PacketDecoder decoder, LoginListener loginListener) {
        this.account = account;
        this.decoder = decoder;
        this.loginListener = loginListener;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
        assembler = new PayloadAssembler(channel.alloc(), ResponseTracker.MAX_INSPECTED_BYTES);
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
    ByteBuf beginCommand(ByteBuf command, ResponseType responseType, ResponseListener responseListener) {
        if (phase != Phase.IDLE) {
            command.release();
            throw new IllegalStateException("not idle but " + phase);
        }
        phase = Phase.BUSY;
        listener = responseListener;
        tracker = new ResponseTracker(responseType, capabilities);
        commandWritten = false;
        responseStarted = false;
        decoder.expectSequence(Packets.packetCount(command.readableBytes()));
        return Packets.write(channel.alloc(), command, 0);
    }

    /**
     * Sends a command, when idle.
     *
     * @param command its payload; released here
     */
    void sendCommand(ByteBuf command, ResponseType responseType, ResponseListener responseListener) {
        channel.writeAndFlush(beginCommand(command, responseType, responseListener))
                .addListener(future -> {
                    if (future.isSuccess()) {
                        commandWritten |= listener == responseListener;
                    } else {
                        close();
                    }
                });
    }

    /** Whether the command that it carries may have reached its server whole. */
    boolean isCommandWritten() {
        return commandWritten;
    }

    /** Lets the server be read on, or not: where the client does not read, the server is to wait. */
    void setReading(boolean reading) {
        channel.config().setAutoRead(reading);
    }

    /** Ends it and tells no end of what it carries: a server finds its client gone. */
    void abort() {
        listener = null;
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
            handleResponsePart(part);
            return;
        }
        if (phase != Phase.GREETING && phase != Phase.LOGIN) {
            // Unasked for: what comes next could not be told apart from an answer.
            part.bytes().release();
            close();
            return;
        }
        ByteBuf payload = assembler.add(part);
        if (payload != null) {
            try {
                if (phase == Phase.GREETING) {
                    handleHandshake(InitialHandshake.read(payload));
                } else {
                    continueLogin(payload);
                }
            } finally {
                payload.release();
            }
        }
    }

    private void handleResponsePart(Part part) {
        if (part.first()) {
            payloadSequence = part.sequence();
            try {
                inspectsPayload = tracker.beginPayload(
                        part.bytes().isReadable()
                                ? part.bytes().getUnsignedByte(part.bytes().readerIndex())
                                : -1,
                        part.packetLength());
            } catch (ProtocolException exception) {
                part.bytes().release();
                throw exception;
            }
        }
        if (!inspectsPayload) {
            boolean last = part.last();
            if (forward(part) && last) {
                tracker.skipPayload();
                completeIfFinished();
            }
            return;
        }
        ByteBuf payload = assembler.add(part);
        if (payload == null) {
            return;
        }
        try {
            tracker.inspect(payload.duplicate());
            status = tracker.status();
            // Behind rows an error is one more packet, and the answer's end; alone it is told as such.
            if ((responseStarted || tracker.completion() != Completion.ERROR)
                    && !forward(Packets.write(channel.alloc(), payload.retain(), payloadSequence))) {
                return;
            }
        } finally {
            payload.release();
        }
        completeIfFinished();
    }

    private boolean forward(Part part) {
        ByteBuf bytes = part.bytes();
        if (part.packetLength() < 0) {
            return forward(bytes);
        }
        ByteBuf header = channel.alloc()
                .buffer(PacketDecoder.HEADER_BYTES)
                .writeMediumLE(part.packetLength())
                .writeByte(part.sequence());
        return forward(Unpooled.wrappedBuffer(header, bytes));
    }

    /** False if it was broken off; the bytes are released then. */
    private boolean forward(ByteBuf packets) {
        ResponseListener responseListener = listener;
        if (responseListener != null && !responseStarted) {
            responseStarted = true;
            if (!responseListener.onResponseStart()) {
                abort();
            }
        }
        if (listener == null) {
            packets.release();
            return false;
        }
        responseListener.onResponsePackets(packets);
        return listener == responseListener;
    }

    private void completeIfFinished() {
        if (tracker.completion() != null) {
            phase = Phase.IDLE;
            setReading(true);
            complete(tracker.completion() == Completion.OK ? Result.OK : Result.ERROR, tracker.error());
        }
    }

    private void complete(Result result, ErrPacket error) {
        ResponseListener completedListener = listener;
        listener = null;
        if (completedListener != null) {
            completedListener.onResponseEnd(result, error);
        }
    }

    // ---------------------------------------------------------------- the login

    private void handleHandshake(InitialHandshake handshake) {
        nonce = handshake.nonce();
        capabilities = REQUESTED_CAPABILITIES & handshake.capabilities();
        status = handshake.status();
        if (!account.database().isEmpty()) {
            capabilities |= Capabilities.CONNECT_WITH_DB;
        }
        AuthPlugin plugin = findPlugin(handshake.plugin());
        phase = Phase.LOGIN;
        ByteBuf out = channel.alloc().buffer();
        // A plugin that is not known is answered with one that is: the server then asks to switch.
        AuthPlugin usedPlugin = plugin == null ? AuthPlugin.CACHING_SHA2 : plugin;
        new HandshakeResponse(
                        capabilities,
                        MAX_PACKET_BYTES,
                        UTF8MB4_COLLATION,
                        account.user(),
                        usedPlugin.createProof(account.password(), nonce),
                        account.database(),
                        usedPlugin.pluginName,
                        Map.of())
                .write(out);
        send(out);
    }

    private static AuthPlugin findPlugin(String pluginName) {
        for (AuthPlugin candidate : AuthPlugin.values()) {
            if (candidate.pluginName.equals(pluginName)) {
                return candidate;
            }
        }
        return null;
    }

    private void send(ByteBuf payload) {
        int sequence = decoder.expectedSequence();
        decoder.expectSequence(sequence + 1);
        channel.writeAndFlush(Packets.write(channel.alloc(), payload, sequence));
    }

    private void continueLogin(ByteBuf payload) {
        int header = Fields.int1(payload, "the login's answer");
        switch (header) {
            case OkPacket.HEADER -> {
                status = OkPacket.read(payload, capabilities).status();
                phase = Phase.IDLE;
                loginListener.onLoginSucceeded(this);
            }
            case ErrPacket.HEADER -> {
                ErrPacket error = ErrPacket.read(payload);
                failLogin(error.code() + " " + error.message(), error);
            }
            case AUTH_SWITCH_HEADER -> {
                AuthPlugin plugin = findPlugin(Fields.nulText(payload, "the plugin's name"));
                if (plugin == null) {
                    failLogin("the server asks for a plugin that is not known", null);
                    return;
                }
                nonce = Fields.bytes(payload, AuthPlugin.NONCE_BYTES, "the nonce");
                send(Unpooled.wrappedBuffer(plugin.createProof(account.password(), nonce)));
            }
            case AUTH_MORE_DATA_HEADER -> {
                if (Fields.int1(payload, "the login's answer") != FAST_AUTH_SUCCESS) {
                    // It wants the password itself, which goes over no plain connection.
                    failLogin("the server does not know the password's digest yet: log in there once over TLS", null);
                }
            }
            default ->
                throw new ProtocolException(ProtocolException.Kind.MALFORMED, "a login's answer begins with " + header);
        }
    }

    private void failLogin(String reason, ErrPacket error) {
        if (phase == Phase.GREETING || phase == Phase.LOGIN) {
            phase = Phase.CLOSED;
            channel.close();
            loginListener.onLoginFailed(reason, error);
        }
    }

    // ---------------------------------------------------------------- its end

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        assembler.close();
        failLogin("the connection ended before the login was over", null);
        phase = Phase.CLOSED;
        // What was not written whole has not run: servers run nothing before they have all of it.
        complete(commandWritten ? Result.RESET : Result.CONNECT_FAILED, null);
        context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            failLogin(String.valueOf(cause.getMessage()), null);
        }
        close();
    }
}
