package kitemux.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpConstants;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.nio.charset.StandardCharsets;

/**
 * Encodes requests to servers with the bytes of the URI as the client sent them. The decoder turns each byte into one
 * character; Netty's encoder writes characters beyond ASCII as UTF-8, which would encode them a second time.
 */
final class RequestEncoder extends HttpRequestEncoder {

    @Override
    protected void encodeInitialLine(ByteBuf buffer, HttpRequest request) {
        ByteBufUtil.copy(request.method().asciiName(), buffer);
        buffer.writeByte(HttpConstants.SP);
        buffer.writeCharSequence(request.uri(), StandardCharsets.ISO_8859_1);
        buffer.writeByte(HttpConstants.SP);
        buffer.writeCharSequence(request.protocolVersion().text(), StandardCharsets.US_ASCII);
        ByteBufUtil.writeShortBE(buffer, HttpConstants.CR << Byte.SIZE | HttpConstants.LF);
    }
}
