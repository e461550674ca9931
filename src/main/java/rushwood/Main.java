package rushwood;

import java.io.IOException;
import rushwood.adapter.Adapter;

/** The command line: one subcommand a job. */
public final class Main {
    private Main() {
    }

    public static void main(String[] args) throws IOException {
        if (args.length == 1 && args[0].equals("adapter")) {
            System.exit(Adapter.run(System.in, System.out, System.err));
        }
        System.err.println("usage: rushwood adapter");
        System.exit(2);
    }
}
