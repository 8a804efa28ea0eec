package kitemux.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.IOException;

/**
 * The last handler of a connection from its opening until its {@link ServerPool.ServerConnection} replaces this
 * handler. A reset in this time, as caused by a server at its connection limit, is not an internal error. Netty
 * would log 14 lines for each, which takes longer than a request on a node that has just started.
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
