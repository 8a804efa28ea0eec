package kitemux.engine;

/** Where the list of servers is had. */
public interface Lists {
    /** Asks for all changes from now on; lists and failures come to the engine as events. */
    void subscribe();
}
