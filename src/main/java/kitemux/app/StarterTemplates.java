package kitemux.app;

import java.util.List;

/** Descriptions to begin with, for applications of some kinds: sound as they are, and to be changed. */
public final class StarterTemplates {
    /** The kinds that there are. */
    public static final List<String> KINDS = List.of("web", "orders");

    private static final String HEAD = """
            # %s
            # config check FILE holds it against all rules; config explain KEY tells what a field is for.
            name     = "%s"
            listen   = "127.0.0.1:8080"
            networks = ["127.0.0.0/8", "10.0.0.0/8"]
            %s
            # Put your servers here; or leave the blocks out and name a list of them in members.
            server "web-1" {
              address = "127.0.0.1:9001"
              rack    = 0
            }

            server "web-2" {
              address = "127.0.0.1:9002"
              rack    = 1
            }

            # Asked of each server; one that fails three times in a row gets nothing new.
            health {
              path = "/"
            }

            class "view-page" {
              again    = "safe"
              aim      = "200ms"
              deadline = "1s"
            }
            """;

    private static final String ORDERS = """

            # Sent again only where servers that remember its key drop a second run.
            class "change-cart" {
              again    = "keyed"
              group    = "rack"
              window   = "2s"
              aim      = "300ms"
              deadline = "1500ms"
              worth    = 3
            }

            # Sent once. Where nobody can say whether it ran, the client hears that.
            class "place-order" {
              again    = "never-twice"
              aim      = "500ms"
              deadline = "2s"
              worth    = 5
            }

            # How long servers remember a key, and which of them know of it.
            keys {
              kept   = "5s"
              shared = "rack"
            }
            """;

    private StarterTemplates() {}

    /**
     * @param kind one of {@link #KINDS}
     * @throws IllegalArgumentException if it is none of these
     */
    public static String render(String kind, String name) {
        return switch (kind) {
            case "web" -> String.format(HEAD, "An application whose requests may all run again.", name, "");
            case "orders" ->
                String.format(HEAD, "An application that takes orders.", name, "never_twice = [\"place-order\"]\n")
                        + ORDERS;
            default -> throw new IllegalArgumentException("there is no kind " + kind);
        };
    }
}
