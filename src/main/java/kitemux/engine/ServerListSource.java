package kitemux.engine;

/** The source of the server list. */
public interface ServerListSource {
    /** Subscribes to changes of the list; lists and failures are delivered to the engine as events. */
    void subscribe();

    /** Requests the full list again, because a delivered list could not be applied. */
    default void requestFullList() {}
}
