package org.parsleycart.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Plots the figures of {@code spread.csv} against the number of daemons. */
@Command(
    name = "plot",
    description = "Plots the figures of spread.csv against the number of daemons.",
    mixinStandardHelpOptions = true)
final class PlotCommand implements Callable<Integer> {
  private static final int WIDTH_PIXELS = 800;
  private static final int HEIGHT_PIXELS = 450;

  @Option(names = "--out", paramLabel = "<out>", defaultValue = "target/figures")
  private Path outputFolder;

  @Override
  public Integer call() throws IOException {
    plot(
        "spread-seconds",
        "Seconds until a version is in force everywhere",
        List.of("convergenceSeconds", "herdConvergenceSeconds"));
    plot(
        "spread-bytes",
        "Control bytes a second for each daemon",
        List.of("quietBytesPerSecond", "loadedBytesPerSecond", "herdBytesPerSecond"));
    return 0;
  }

  private void plot(String name, String title, List<String> columns) throws IOException {
    List<String> lines = Files.readAllLines(outputFolder.resolve("spread.csv"));
    List<String> header = List.of(lines.get(0).split(",", -1));
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH_PIXELS)
            .height(HEIGHT_PIXELS)
            .title(title)
            .xAxisTitle("daemons")
            .yAxisTitle(title)
            .build();
    chart.getStyler().setXAxisLogarithmic(true);
    for (String column : columns) {
      List<Double> sizes = new ArrayList<>();
      List<Double> values = new ArrayList<>();
      for (String line : lines.subList(1, lines.size())) {
        List<String> cells = List.of(line.split(",", -1));
        sizes.add(Double.valueOf(cells.get(0)));
        values.add(Double.valueOf(cells.get(header.indexOf(column))));
      }
      chart.addSeries(column, sizes, values);
    }
    BitmapEncoder.saveBitmap(
        chart, outputFolder.resolve(name).toString(), BitmapEncoder.BitmapFormat.PNG);
  }
}
