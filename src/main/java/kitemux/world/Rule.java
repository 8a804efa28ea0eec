package kitemux.world;

/** What is judged. The first four are the rules that the users send, and the
 * fifth and sixth are terms of theirs; the rest must hold for them to. */
enum Rule {
    ANSWERED("no request is lost"),
    EFFECTS("no effect happens twice"),
    DRAINS("drains are kept"),
    COLD("a cold server is not pushed over"),
    GONE("whoever has left is not sent on"),
    LONG_ANSWERS("long answers are passed on for as long as they are given, and no longer"),
    UNCHANGED("requests and answers pass unchanged"),
    ENDS("every attempt's end reaches the module exactly once"),
    FLIGHT("what is believed to be in flight is what is out"),
    LEFT_OVER("at the end nothing is held, open or scheduled"),
    CRASH("no defect is met");

    final String text;

    Rule(String text) {
        this.text = text;
    }
}
