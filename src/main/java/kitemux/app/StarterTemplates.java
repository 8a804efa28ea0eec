package kitemux.app;

import java.util.List;

/** Valid descriptions of some kinds of applications, which users adapt to their needs. */
public final class StarterTemplates {
    /** The kinds of applications that have a template. */
    public static final List<String> KINDS = List.of("web", "orders");

    private static final String BASE_TEMPLATE = """
            # %s
            # config check FILE checks it against all rules; config explain KEY explains a field.
            name     = "%s"
            listen   = "127.0.0.1:8080"
            networks = ["127.0.0.0/8", "10.0.0.0/8"]
            %s
            # Describe your servers here, or remove these blocks and name a list of servers in members.
            server "web-1" {
              address = "127.0.0.1:9001"
              rack    = 0
            }

            server "web-2" {
              address = "127.0.0.1:9002"
              rack    = 1
            }

            # Requested from each server; a server that fails three times in a row receives no new requests.
            health {
              path = "/"
            }

            class "view-page" {
              again    = "safe"
              aim      = "200ms"
              deadline = "1s"
            }
            """;

    private static final String ORDER_BLOCKS = """

            # Retried only on servers that remember the key of a request and drop a second run.
            class "change-cart" {
              again    = "keyed"
              group    = "rack"
              window   = "2s"
              aim      = "300ms"
              deadline = "1500ms"
              worth    = 3
            }

            # Sent only once. If it is unknown whether a request ran, the client is told so.
            class "place-order" {
              again    = "never-twice"
              aim      = "500ms"
              deadline = "2s"
              worth    = 5
            }

            # How long servers remember a key, and which servers share it.
            keys {
              kept   = "5s"
              shared = "rack"
            }
            """;

    private StarterTemplates() {}

    /**
     * Returns a description of an application.
     *
     * @param kind one of {@link #KINDS}
     * @param name name of the application
     * @throws IllegalArgumentException if there is no such kind
     */
    public static String render(String kind, String name) {
        return switch (kind) {
            case "web" -> String.format(BASE_TEMPLATE, "An application whose requests can all be retried.", name, "");
            case "orders" ->
                String.format(
                                BASE_TEMPLATE,
                                "An application that takes orders.",
                                name,
                                "never_twice = [\"place-order\"]\n")
                        + ORDER_BLOCKS;
            default -> throw new IllegalArgumentException("unknown kind of application: " + kind);
        };
    }
}
