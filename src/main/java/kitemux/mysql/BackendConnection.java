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
 * A connection to a server: it logs in ("Connection Phase") and then carries one command at a time. Responses
 * are streamed as the server wrote them; a gigabyte of rows takes only the memory of a single read. Used on the
 * event loop only.
 */
final class BackendConnection extends ChannelInboundHandlerAdapter {
    /** Capabilities that are requested from servers; both sides use those that they share. */
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

    /**
     * Account for the login at servers.
     *
     * @param user name of the user
     * @param password in plain text
     * @param database initial database; empty for none
     */
    record Account(String user, String password, String database) {}

    /** Receives the result of a login: exactly one of the calls, once. */
    interface LoginListener {
        /** The connection is ready for commands. */
        void onLoginSucceeded(BackendConnection connection);

        /** The connection is closed and has carried no command; the error is the server's, or null. */
        void onLoginFailed(String reason, ErrPacket error);
    }

    /** Receives the response to a command. */
    interface ResponseListener {
        /**
         * The first payload has arrived and is no error. Returns false to abort; the end is not reported then.
         */
        boolean onResponseStart();

        /** Further packets with the server's sequence numbers; the receiver releases them. */
        void onResponsePackets(ByteBuf packets);

        /**
         * The end of the response, reported once; the error is the server's, or null. A response that has
         * started is complete only if the result is OK.
         */
        void onResponseEnd(Result result, ErrPacket error);
    }

    private enum Phase {
        HANDSHAKE,
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
    private Phase phase = Phase.HANDSHAKE;
    private byte[] nonce;
    private long capabilities;
    private int status;

    private ResponseListener listener;
    private ResponseTracker tracker;
    private boolean commandWritten;
    private boolean responseStarted;
    /** Whether the current payload is assembled and passed to the tracker. */
    private boolean inspectsPayload;

    private int payloadSequence;

    /**
     * Creates the handler of a connection that is not open yet.
     *
     * @param account for the login
     * @param decoder precedes this handler in the pipeline
     * @param loginListener receives the result of the login
     */
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

    /** Capabilities that both sides share. */
    long capabilities() {
        return capabilities;
    }

    /** SERVER_STATUS flags as last received; they show whether a transaction is open. */
    int status() {
        return status;
    }

    /** Whether the connection is logged in and carries no command. */
    boolean isIdle() {
        return phase == Phase.IDLE;
    }

    // ---------------------------------------------------------------- commands

    /**
     * Begins a command on an idle connection; the caller writes the returned packets at once.
     *
     * @param command payload of the command; released here
     * @param responseType structure of the response
     * @param responseListener receives the response
     * @return the packets of the command, owned by the caller
     * @throws IllegalStateException if the connection is not idle
     */
    ByteBuf beginCommand(ByteBuf command, ResponseType responseType, ResponseListener responseListener) {
        if (phase != Phase.IDLE) {
            command.release();
            throw new IllegalStateException("connection is not idle: phase " + phase);
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
     * Sends a command on an idle connection.
     *
     * @param command payload of the command; released here
     * @param responseType structure of the response
     * @param responseListener receives the response
     * @throws IllegalStateException if the connection is not idle
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

    /** Whether the current command may have reached the server whole. */
    boolean isCommandWritten() {
        return commandWritten;
    }

    /** Resumes or pauses reading from the server: backpressure from a client that does not read. */
    void setReading(boolean reading) {
        channel.config().setAutoRead(reading);
    }

    /**
     * Closes the connection without reporting an end of the current command; the server sees its client
     * disconnect.
     */
    void abort() {
        listener = null;
        close();
    }

    /** Closes the connection; the end of the current command is reported. */
    void close() {
        channel.close();
    }

    // ---------------------------------------------------------------- responses

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        Part part = (Part) message;
        if (phase == Phase.BUSY) {
            handleResponsePart(part);
            return;
        }
        if (phase != Phase.HANDSHAKE && phase != Phase.LOGIN) {
            // Unsolicited data: whatever follows could not be told apart from a response.
            part.bytes().release();
            close();
            return;
        }
        ByteBuf payload = assembler.add(part);
        if (payload != null) {
            try {
                if (phase == Phase.HANDSHAKE) {
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
            // After rows an error is forwarded as one more packet, which ends the response; without rows it is only
            // reported through the listener.
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

    /** Returns false if the response was aborted; the bytes are released then. */
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

    // ---------------------------------------------------------------- login

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
        // An unknown plugin is answered with a known one; the server then requests a switch.
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
        int header = Fields.int1(payload, "the login response");
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
                AuthPlugin plugin = findPlugin(Fields.nulText(payload, "the plugin name"));
                if (plugin == null) {
                    failLogin("the server requires an unknown authentication plugin", null);
                    return;
                }
                nonce = Fields.bytes(payload, AuthPlugin.NONCE_BYTES, "the nonce");
                send(Unpooled.wrappedBuffer(plugin.createProof(account.password(), nonce)));
            }
            case AUTH_MORE_DATA_HEADER -> {
                if (Fields.int1(payload, "the login response") != FAST_AUTH_SUCCESS) {
                    // The server requests the plain password, which is never sent over an unencrypted connection.
                    failLogin("the server has not cached the password digest yet: log in there once over TLS", null);
                }
            }
            default ->
                throw new ProtocolException(
                        ProtocolException.Kind.MALFORMED, "invalid login response: first byte " + header);
        }
    }

    private void failLogin(String reason, ErrPacket error) {
        if (phase == Phase.HANDSHAKE || phase == Phase.LOGIN) {
            phase = Phase.CLOSED;
            channel.close();
            loginListener.onLoginFailed(reason, error);
        }
    }

    // ---------------------------------------------------------------- close

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        assembler.close();
        failLogin("the connection was closed before the login completed", null);
        phase = Phase.CLOSED;
        // A command that was not written whole has not run: servers execute only whole commands.
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
