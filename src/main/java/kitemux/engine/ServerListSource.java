package kitemux.engine;

/** Where the list of servers is had. */
public interface ServerListSource {
    /** Asks for all changes from now on; lists and failures come to the engine as events. */
    void subscribe();

    /** A list that was told could not be taken in: all of it is to be told once more. */
    default void requestFullList() {}
}
