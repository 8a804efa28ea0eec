package kitemux.world;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.DefaultChannelConfig;

/** Takes socket options without a word: there is no socket. */
final class NoSocket extends DefaultChannelConfig {
    private final Runnable whenNotRead;

    /** For a channel that is told when it is not to be read from for now. */
    NoSocket(Channel channel, Runnable whenNotRead) {
        super(channel);
        this.whenNotRead = whenNotRead;
    }

    @Override
    public <T> boolean setOption(ChannelOption<T> option, T value) {
        super.setOption(option, value);
        return true;
    }

    @Override
    protected void autoReadCleared() {
        whenNotRead.run();
    }
}
