package mulleinfront.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import mulleinfront.bench.AddedTime;
import mulleinfront.bench.CapacityFile;
import mulleinfront.bench.IdleCost;
import mulleinfront.bench.ListCost;
import mulleinfront.bench.MembershipCost;
import mulleinfront.bench.SnapshotCost;
import mulleinfront.capacity.Capacity;
import mulleinfront.capacity.Estimate;
import mulleinfront.capacity.Fit;
import mulleinfront.capacity.Page;
import mulleinfront.capacity.Row;
import mulleinfront.capacity.Slope;
import mulleinfront.settings.BadFileException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * {@code bench capacity}: measures the slopes of docs/CAPACITY.md and compares the estimates at the fleet size with
 * their budgets.
 */
@Command(
        name = "capacity",
        mixinStandardHelpOptions = true,
        description = "Measures each slope at four sizes or more, fits a curve, computes the estimate at the fleet"
                + " size, and prints budget and margin.",
        footer = {
            "",
            "Exit codes: 0 all estimates are within budget, 2 bad input (one line on standard error),"
                    + " 3 an estimate is over budget, or a row has no mechanism."
        })
final class CapacityCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(
            names = "--role",
            paramLabel = "R",
            description = "only the rows and slopes of this role: the name of a role,"
                    + " or of a part of one, as on the page")
    private String role;

    @Option(
            names = "--from",
            paramLabel = "FILE",
            defaultValue = "docs/capacity.json",
            description = "size, slopes, rows and mechanisms (default ${DEFAULT-VALUE})")
    private Path input;

    @Option(
            names = "--json",
            paramLabel = "F",
            description =
                    "writes the input with the new measurements in place of the" + " old ones; may be the same file")
    private Path output;

    @Option(
            names = "--page",
            paramLabel = "FILE",
            description = "regenerates the tables of a page from the slopes" + " and rows")
    private Path page;

    @Option(
            names = "--size",
            paramLabel = "N",
            description = "number of hosts, in place of the file's; the calls change in proportion")
    private Integer hosts;

    @Option(
            names = "--at",
            split = ",",
            paramLabel = "N",
            defaultValue = "50,167,335,670,1340",
            description = "sizes to measure at (default ${DEFAULT-VALUE})")
    private int[] sizes;

    @Option(
            names = "--rates",
            split = ",",
            paramLabel = "N",
            defaultValue = "60,150,300,600",
            description = "calls per second to measure the data path at (default ${DEFAULT-VALUE})")
    private int[] rates;

    @Option(
            names = "--services",
            split = ",",
            paramLabel = "N",
            defaultValue = "10,20,40,77,154",
            description = "numbers of services to measure a configuration at (default ${DEFAULT-VALUE})")
    private int[] services;

    @Option(
            names = "--sample",
            paramLabel = "FILE",
            defaultValue = "deploy/sample-config.json",
            description = "configuration file whose settings are used for each service (default ${DEFAULT-VALUE})")
    private Path sampleConfig;

    @Option(
            names = "--requests",
            paramLabel = "N",
            defaultValue = "1000",
            description = "minimum number of calls measured at each rate (default ${DEFAULT-VALUE})")
    private int requests;

    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            description = "random seed of the simulations (default ${DEFAULT-VALUE})")
    private long seed;

    @Option(names = "--as-held", description = "measures nothing and uses the slopes of the file")
    private boolean withoutMeasuring;

    @Override
    public Integer call() throws BadFileException, IOException, InterruptedException {
        for (int[] points : List.of(sizes, rates, services)) {
            if (Arrays.stream(points).distinct().count() < Fit.MIN_SIZES
                    || Arrays.stream(points).anyMatch(n -> n < 10)) {
                throw new ParameterException(
                        spec.commandLine(), "a slope needs " + Fit.MIN_SIZES + " sizes or more, each at least 10");
            }
        }
        if (requests < 1 || hosts != null && hosts < 10) {
            throw new ParameterException(
                    spec.commandLine(),
                    hosts != null && hosts < 10 ? "--size must be at least 10" : "--requests must be at least 1");
        }
        Capacity capacity = CapacityFile.read(input);
        List<Row> rows = rows(capacity);
        PrintWriter out = spec.commandLine().getOut();
        if (!withoutMeasuring) {
            capacity = capacity.withSlopes(measure(capacity, rows, out));
        }
        if (output != null) {
            CapacityFile.write(output, capacity);
        }
        if (page != null) {
            try {
                Files.writeString(page, new Page(capacity).fill(Files.readString(page)));
            } catch (IllegalArgumentException e) {
                throw new BadFileException(page + ": " + e.getMessage());
            } catch (IOException e) {
                throw new BadFileException(page + ": can't be read or written");
            }
        }
        return print(
                hosts == null ? capacity : capacity.withSize(capacity.size().withHosts(hosts)), rows, out);
    }

    private List<Row> rows(Capacity capacity) {
        List<Row> rows = capacity.rows().stream()
                .filter(r -> role == null || r.role().equals(role) || r.part().equals(role))
                .toList();
        if (rows.isEmpty()) {
            throw new ParameterException(
                    spec.commandLine(),
                    "unknown role '" + role + "'; there are "
                            + capacity.rows().stream().map(Row::role).distinct().collect(Collectors.joining(", ")));
        }
        return rows;
    }

    /** Measures only the slopes that these rows use; the id of a slope begins with the name of its group. */
    private List<Slope> measure(Capacity capacity, List<Row> rows, PrintWriter out)
            throws IOException, InterruptedException {
        Set<String> groups = rows.stream()
                .flatMap(r -> r.cells().stream())
                .flatMap(c -> c.terms().stream())
                .map(t -> t.slope().substring(0, Math.max(0, t.slope().indexOf('.'))))
                .collect(Collectors.toSet());
        String command = "bench capacity --role ";
        List<Slope> measured = new ArrayList<>();
        if (groups.contains("membership")) {
            measured.addAll(MembershipCost.measure(
                    out,
                    sizes,
                    seed,
                    capacity.size().of("rack-hosts") / capacity.size().of("hosts"),
                    (int) capacity.size().of("zones"),
                    command + "membership"));
        }
        if (groups.contains("lists")) {
            measured.addAll(ListCost.measure(sizes, command + "lists"));
        }
        if (groups.contains("configuration")) {
            measured.addAll(SnapshotCost.measure(services, sampleConfig, command + "configuration"));
        }
        if (groups.contains("idle")) {
            measured.addAll(IdleCost.measure(sizes, command + "process"));
        }
        if (groups.contains("data")) {
            measured.addAll(new AddedTime(out).measure(rates, requests, command + "\"data path\""));
        }
        return measured;
    }

    private Integer print(Capacity capacity, List<Row> rows, PrintWriter out) {
        Set<String> used = rows.stream()
                .flatMap(row -> row.cells().stream())
                .flatMap(c -> c.terms().stream())
                .map(Row.Term::slope)
                .collect(Collectors.toSet());
        for (Slope slope : capacity.slopes()) {
            if (used.contains(slope.id()) && capacity.fit(slope.id()) != null) {
                out.printf(
                        Locale.ROOT,
                        "%-28s %s, by %s: %s%n",
                        slope.id(),
                        slope.unit(),
                        slope.per(),
                        capacity.fit(slope.id()).summary());
            }
        }
        Set<Row> selected = Set.copyOf(rows);
        List<Estimate> estimates = capacity.estimates().stream()
                .filter(estimate -> selected.contains(estimate.row()))
                .sorted(Comparator.comparingDouble(Estimate::budgetShare).reversed())
                .toList();
        out.printf(Locale.ROOT, "%n%-64s %-10s %12s %12s %8s%n", "row", "measure", "figure", "budget", "margin");
        for (Estimate estimate : estimates) {
            Row row = estimate.row();
            boolean bounded = !Double.isNaN(estimate.budget());
            out.printf(
                    Locale.ROOT,
                    "%-64s %-10s %12s %12s %8s%s%n",
                    row.role() + ", " + row.part() + ", " + row.when(),
                    estimate.cell().measure().outputName(),
                    Double.isNaN(estimate.value()) ? "-" : Page.number(estimate.value()),
                    bounded ? Page.number(estimate.budget()) : "-",
                    row.hasNoMechanism()
                            ? "none"
                            : bounded && !Double.isNaN(estimate.value())
                                    ? String.format(Locale.ROOT, "%.0f%%", 100 * estimate.margin())
                                    : "-",
                    estimate.isOverBudget() ? "  over" : "");
        }
        boolean over = estimates.stream().anyMatch(Estimate::isOverBudget);
        out.println(over ? "over budget, or without a mechanism" : "all within budget");
        return over ? CommandLine.VIOLATION : CommandLine.SUCCESS;
    }
}
