package kitemux.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.IOException;

/**
 * Stands at the end of a connection that comes up until somebody takes it over. One that is reset in between,
 * as a server does that holds as many as it may, is no defect: the network library would write fourteen
 * lines for each, which takes a node that has just started longer than a request.
 */
final class ConnectErrorHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof IOException) {
            context.close();
        } else {
            context.fireExceptionCaught(cause);
        }
    }
}
