package org.marigoldmill.cli.promises;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marigoldmill.cli.process.ExampleDeclaration.GROUPS;
import static org.marigoldmill.cli.process.ExampleDeclaration.GROUP_SIZE;
import static org.marigoldmill.cli.process.ExampleDeclaration.STALENESS_BOUND;
import static org.marigoldmill.cli.process.ExampleDeclaration.TUUL_KEY;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.Comparator;
import java.util.stream.Collectors;
import org.marigoldmill.cli.process.ProcessCluster;
import org.marigoldmill.schema.operator.ShownJob;
import org.marigoldmill.schema.operator.ShownJobs;
import org.marigoldmill.schema.upstream.TrainerReport;

/** Steps that run a trainer and check its samples. */
public final class RolloutSteps {
  private static final String TRAINER = "trainer";
  private static final long TRAIN_MS = 300;
  private static final long QUICK_TRAIN_MS = 10;

  private final World world;
  private long expectedSteps;

  public RolloutSteps(World world) {
    this.world = world;
  }

  @When("the trainer of {string} runs {int} steps")
  public void runs(String job, int count) {
    start(job, count, TRAIN_MS);
  }

  @When("the trainer of {string} runs {int} steps in quick succession")
  public void runsQuickly(String job, int count) {
    start(job, count, QUICK_TRAIN_MS);
  }

  @When("the trainer has finished {int} step")
  public void hasFinished(int count) {
    ProcessCluster.await("the trainer to finish step " + count, () -> report().getSteps() >= count);
  }

  @When("the owner of job {string} is killed")
  public void ownerKilled(String job) {
    world.cluster().process(owner(job)).kill();
  }

  @When("the owner of job {string} is frozen for {int} seconds")
  public void ownerFrozen(String job, int seconds) {
    String owner = owner(job);
    world.cluster().process(owner).freeze();
    ProcessCluster.pause(seconds * 1_000L);
    world.cluster().process(owner).resume();
  }

  @Then("the trainer finishes within {int} seconds")
  public void finishes(int seconds) {
    ProcessCluster.await("the trainer to finish", seconds * 1_000L, () -> report().getFinished());
    TrainerReport report = report();
    assertThat(report.getSteps()).isEqualTo(expectedSteps);
    assertThat(report.getSamples()).isEqualTo(expectedSteps * GROUPS * GROUP_SIZE);
  }

  @Then("the trainer has counted 0 wrong versions")
  public void noWrongVersions() {
    assertThat(report().getWrongVersions()).isZero();
  }

  @Then("the trainer has counted 0 samples over the bound")
  public void noneOverBound() {
    assertThat(report().getOverBound()).isZero();
  }

  @Then("the trainer has counted 0 duplicates and 0 missing samples")
  public void noDuplicatesNoneMissing() {
    assertThat(report().getDuplicates()).isZero();
    assertThat(report().getMissing()).isZero();
  }

  private void start(String job, int count, long trainMs) {
    expectedSteps = count;
    String entries =
        world.cluster().callerAddresses().stream()
            .map(a -> "\"" + a + "\"")
            .collect(Collectors.joining(", "));
    world
        .cluster()
        .startStandin(
            TRAINER,
            TRAINER,
            "job = \"" + job + "\"",
            "key = \"" + TUUL_KEY + "\"",
            "entries = [" + entries + "]",
            "weight_store = \"" + world.cluster().standinAddress("weights") + "\"",
            "steps = " + count,
            "samples_per_step = " + GROUPS * GROUP_SIZE,
            "group_size = " + GROUP_SIZE,
            "train_ms = " + trainMs,
            "staleness_bound = " + STALENESS_BOUND);
  }

  private TrainerReport report() {
    return world.cluster().read(TRAINER, "/report", TrainerReport.getDefaultInstance());
  }

  /** Returns the entry instance that shows the highest step of a job. */
  private String owner(String job) {
    return World.ENTRIES.stream().max(Comparator.comparingLong(e -> stepAt(e, job))).orElseThrow();
  }

  private long stepAt(String entry, String job) {
    return world
        .cluster()
        .shown(entry, "jobs", ShownJobs.getDefaultInstance())
        .getJobsList()
        .stream()
        .filter(j -> j.getName().equals(job))
        .mapToLong(ShownJob::getStep)
        .findFirst()
        .orElse(-1);
  }
}
