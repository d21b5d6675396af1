import java.nio.file.Path;
import java.util.List;

/** Runs one case: Case FOLDER CLASS. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. */
final class Case {
    /** One case. */
    interface Script {
        /** Returns whether the rule held. */
        boolean holds(Lab lab) throws Exception;

        /** Returns the regions of the deployment. */
        List<String> regions();
    }

    private static final long MAX_MILLIS = 110_000;

    private Case() {}

    public static void main(String[] args) {
        Replica.daemon(() -> {
            Lab.sleep(MAX_MILLIS);
            System.err.println("the case has taken too long");
            System.exit(2);
        });
        int status = 2;
        try {
            Script script = (Script) Class.forName(args[1]).getDeclaredConstructor().newInstance();
            try (Lab lab = new Lab(Path.of(args[0]), script.regions())) {
                boolean holds = script.holds(lab);
                lab.log(holds ? "the rule held" : "the rule was broken");
                System.out.println(holds ? "held" : "broken");
                status = holds ? 0 : 1;
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }
}
